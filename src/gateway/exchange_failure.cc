#include "src/gateway/exchange_impl.h"

#include <string>
#include <utility>

#include "src/gateway/retry_after.h"

namespace bergamotscale::gateway {
namespace {

constexpr int kStatusBadGateway = 502;
constexpr int kStatusGatewayTimeout = 504;

}  // namespace

void Exchange::OnConnectionLost(const std::string& reason, bool is_malformed) {
  ReleaseUpstream(CallOutcome::kConnectionLost);
  // Engines start a request with its first token; others may have run it.
  if (!placement_request_.engine_) {
    CountRun();
  }
  const auto handle = [self = shared_from_this(), reason] {
    if (!self->ended_) {
      self->HandleFailedSend(Verdict::kMayHaveExecuted, reason.c_str(), false);
    }
  };
  if (is_malformed) {
    handle();
  } else if (is_answered_ ||
             context_.part_quarantine_.WereAnswered(shared_parts_)) {
    CheckForCrash([] {});
    handle();
  } else {
    // What may have crashed this upstream must not reach the next one before
    // that is known.
    CheckForCrash(handle);
  }
}

void Exchange::CheckForCrash(std::function<void()> done) {
  const UpstreamKey upstream = choice_.upstream_;
  const bool was_answered = is_answered_;
  const Millis sent_at = sent_at_;
  context_.upstreams_.Connect(
      upstream, true,
      [self = shared_from_this(), upstream, was_answered, sent_at,
       done = std::move(done)](ConnectionResult result) {
        if (result.connection_ != nullptr) {
          self->context_.upstreams_.ReturnConnection(
              upstream, std::move(result.connection_));
        } else if (!result.is_local_failure_) {
          self->RecordCrash(upstream, was_answered, sent_at);
        }
        done();
      });
}

void Exchange::RecordCrash(const UpstreamKey& upstream,
                           bool was_answered,
                           Millis sent_at) {
  Log("crash_suspected")
      .Add("upstream", upstream.id_.value())
      .Add("was_suspect", int64_t{was_suspect_ ? 1 : 0})
      .Add("was_answered", int64_t{was_answered ? 1 : 0})
      .Write();
  if (!was_answered) {
    // A request that has crashed two upstreams was known after the first.
    context_.part_quarantine_.OnCrash(shared_parts_,
                                      was_suspect_ ? Now() : sent_at, Now());
  }
  const auto changed = context_.quarantine_.OnCrash(
      {policy::RunningAttempt{digest_, was_suspect_}}, Now(),
      policy::ComputeCrashSourceId(upstream.id_));
  was_suspect_ = true;
  if (!changed.empty()) {
    context_.broadcast_suspects_();
  }
}

bool Exchange::CanSendAgain(Verdict verdict) const {
  FailedSend failed;
  failed.verdict_ = verdict;
  failed.retry_allowed_ = route_->is_retryable();
  failed.executions_ = executions_;
  failed.max_attempts_ = route_->max_attempts_;
  failed.sends_ = sends_;
  failed.time_left_ = TimeLeft();
  const bool can_resume =
      (!response_started_ || !splitter_.last_id().empty()) &&
      request_body_.is_kept();
  return !caller_left_ && can_resume && FindQuarantine() == nullptr &&
         ChooseNextStep(failed) == NextStep::kRetry;
}

void Exchange::LogFailedSend(const char* event,
                             const char* reason,
                             Verdict verdict) {
  Log(event)
      .Add("upstream", choice_.upstream_.id_.value())
      .Add("reason", reason)
      .Add("status", int64_t{response_head_.status_})
      .Add("verdict", VerdictName(verdict))
      .Write();
}

void Exchange::HandleFailedSend(Verdict verdict,
                                const char* reason,
                                bool has_answer) {
  tried_upstreams_.push_back(choice_.upstream_);
  // Drops the incomplete event, which the next upstream sends again.
  splitter_.ExtractRemainder();
  const bool retry =
      CanSendAgain(verdict) && context_.retry_budget_.TryRetry(group_, Now());
  LogFailedSend(retry ? "send_again" : "send_failed", reason, verdict);
  if (retry) {
    context_.metrics_.Add("bergamot_gateway_sent_again");
    FindUpstream();
  } else if (has_answer && !response_started_) {
    ForwardUpstreamError();
  } else {
    Fail(reason);
  }
}

void Exchange::ForwardUpstreamError() {
  context_.metrics_.Add("bergamot_gateway_upstream_errors");
  if (!caller_left_) {
    responder_->Reply(response_head_.status_, response_head_.headers_,
                      std::move(body_));
  }
  End();
}

void Exchange::Fail(const char* reason) {
  const bool was_in_flight = in_flight_;
  if (holds_upstream_) {
    ReleaseUpstream(CallOutcome::kCancelled);
  }
  const bool may_have_run = executions_ > 0;
  if (response_started_) {
    Log("answer_broken_off").Add("reason", reason).Write();
    context_.metrics_.Add("bergamot_gateway_broken_off");
    responder_->Abort();
    End();
  } else if (may_have_run) {
    const bool timed_out = was_in_flight && TimeLeft() <= Millis(0);
    Reject(timed_out ? kStatusGatewayTimeout : kStatusBadGateway, reason,
           false);
  } else {
    Reject(kStatusUnavailable, reason, true);
  }
}

void Exchange::Reject(int status, const char* reason, bool suggest_retry) {
  Log("refused")
      .Add("status", int64_t{status})
      .Add("reason", reason)
      .Add("route", route_ == nullptr ? "" : route_->name_.c_str())
      .Add("verdict", VerdictName(executions_ > 0 ? Verdict::kMayHaveExecuted
                                                  : Verdict::kNotExecuted))
      .Add("config_age_ms", TableAge().count())
      .Write();
  context_.metrics_.Add("bergamot_gateway_refused", std::to_string(status));
  if (!caller_left_) {
    web::HeaderList headers;
    headers.Add("Content-Type", "text/plain");
    if (suggest_retry) {
      headers.Add("Retry-After", FormatSeconds(RetryAfter()));
    }
    responder_->Reply(status, headers, std::string(reason) + "\n");
  }
  End();
}

void Exchange::RejectUnlisted(int status, const char* reason) {
  if (TableAge() > context_.freshness_limits_.max_age_for_denial_) {
    Reject(kStatusUnavailable, "configuration not confirmed lately", true);
  } else {
    Reject(status, reason, false);
  }
}

Millis Exchange::RetryAfter() const {
  Rejection rejection;
  rejection.is_stopping_ = context_.stop_.is_stopping();
  rejection.may_begin_anew_ = retry_at_once_;
  rejection.upstream_pause_ = upstream_pause_;
  if (info_.patience_ > Millis(0)) {
    rejection.time_left_ = info_.patience_ - (Now() - arrived_);
  }
  return ChooseRetryAfter(rejection);
}

}  // namespace bergamotscale::gateway
