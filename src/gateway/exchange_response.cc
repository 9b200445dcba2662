#include "src/gateway/exchange_impl.h"

#include <algorithm>
#include <string>
#include <utility>

#include "src/gateway/upstream_notices.h"

namespace bergamotscale::gateway {
namespace {

using route::CallKind;

constexpr int kStatusOk = 200;
constexpr int kStatusMultipleChoices = 300;
constexpr int kStatusServerError = 500;

// Limits on what is kept of a response that is forwarded as a whole, on an
// event that is not whole yet, and on the body of a response that is not used.
// A faulty upstream may send without end.
constexpr size_t kMaxWholeResponse = size_t{4} << 20;
constexpr size_t kMaxEvent = size_t{1} << 20;
constexpr size_t kMaxUnusedBody = size_t{64} << 10;

bool IsSuccess(int status) {
  return status >= kStatusOk && status < kStatusMultipleChoices;
}

}  // namespace

bool Exchange::MatchesRequest(const web::ResponseHead& head) {
  response_info_ = context_.header_codec_.decode_response_(head);
  RecordNotices(
      context_,
      {info_.id_, number_, Now() - arrived_, choice_.upstream_, sent_at_},
      response_info_);
  const bool ours =
      response_info_.request_.empty() || response_info_.request_ == info_.id_;
  if (!ours) {
    Log("foreign_answer_dropped")
        .Add("upstream", choice_.upstream_.id_.value())
        .Add("answers", response_info_.request_.value())
        .Write();
    context_.metrics_.Add("bergamot_gateway_foreign_answers");
  }
  return ours;
}

void Exchange::OnHead(const web::ResponseHead& head) {
  response_head_ = head;
  if (response_account_.has_value() && head.has_length_) {
    response_account_->SetUse(policy::BufferUse::kResponse);
  }
}

bool Exchange::IsStreamed() const {
  return route_->kind_ == CallKind::kStream &&
         IsSuccess(response_head_.status_) && IsAuthentic();
}

bool Exchange::IsAuthentic() const {
  return response_info_.is_authentic_ && response_info_.request_ == info_.id_;
}

void Exchange::OpenResponseAccount() {
  response_account_.reset();
  if (context_.buffers_ != nullptr) {
    response_account_.emplace(
        *context_.buffers_, policy::BufferUse::kUnboundedResponse,
        GiveUpHook([send = sends_](Exchange& self) {
          if (self.holds_upstream_ && self.sends_ == send) {
            self.OnOverlong("no memory for the response");
          }
        }));
  }
}

void Exchange::CountResponse(size_t size) {
  if (response_account_.has_value()) {
    response_account_->SetSize(size);
  }
}

bool Exchange::OnBody(std::string bytes) {
  context_.link_budget_.RecordReceived(
      Bytes(static_cast<int64_t>(bytes.size())), Now());
  if (!prefill_done_) {
    prefill_done_ = true;
    first_byte_at_ = Now();
    context_.upstreams_.OnPrefillDone(choice_);
    if (sends_ == 1 && info_.last_event_id_.empty() &&
        choice_.unread_tokens_ <=
            static_cast<double>(placement_request_.own_tokens_.count())) {
      context_.upstreams_.OnPrefillTimed(
          choice_, placement_request_.own_tokens_, Now() - sent_at_);
    }
    context_.admission_.RunPassSoon();
  }
  if (IsAuthentic() && !IsRejection()) {
    CountRun();
  }
  if (!IsStreamed()) {
    return KeepBody(bytes);
  }
  std::string events = splitter_.ExtractEvents(bytes);
  CountResponse(splitter_.remainder_size());
  if (splitter_.remainder_size() > kMaxEvent) {
    OnOverlong("event without end");
    return false;
  }
  if (events.empty()) {
    return true;
  }
  ++stall_epoch_;
  DropMove();
  // The upstream may still crash while it sends the first event.
  if (std::exchange(has_events_, true)) {
    RecordAnswered();
  }
  StartStallTimer();
  const bool keep_reading = ForwardEvents(std::move(events));
  if (!keep_reading) {
    // The caller is slow, not the upstream.
    is_paused_ = true;
    pause_timer_.Cancel();
  }
  return keep_reading;
}

bool Exchange::KeepBody(const std::string& bytes) {
  const bool authentic = IsAuthentic();
  if (authentic) {
    body_ += bytes;
    CountResponse(body_.size());
  }
  body_size_ += bytes.size();
  if (body_size_ > (authentic ? kMaxWholeResponse : kMaxUnusedBody)) {
    OnOverlong("response without end");
    return false;
  }
  return true;
}

void Exchange::OnOverlong(const char* reason) {
  pause_timer_.Cancel();
  context_.metrics_.Add("bergamot_gateway_overlong_answers");
  std::string().swap(body_);
  response_account_.reset();
  if (IsRejection()) {
    HandleRejection(reason);
    return;
  }
  ReleaseUpstream(CallOutcome::kFailed);
  HandleFailedSend(Verdict::kMayHaveExecuted, reason, false);
}

bool Exchange::IsRejection() const {
  const bool is_ours = !reused_ || response_info_.request_ == info_.id_;
  return is_ours &&
         (response_info_.not_executed_ || response_info_.wrong_instance_);
}

void Exchange::HandleRejection(const char* reason) {
  --executions_;
  ReleaseUpstream(CallOutcome::kRejected);
  HandleFailedSend(Verdict::kNotExecuted, reason, false);
}

bool Exchange::ForwardEvents(std::string events) {
  if (caller_left_) {
    return true;
  }
  if (!response_started_) {
    response_started_ = true;
    context_.metrics_.Observe("bergamot_gateway_first_event_ms", route_->name_,
                              static_cast<double>((Now() - arrived_).count()));
    responder_->BeginStream(response_head_.status_, response_head_.headers_);
    ConfineToVersion();
  }
  context_.link_budget_.RecordSent(Bytes(static_cast<int64_t>(events.size())),
                                   Now());
  return responder_->Write(std::move(events));
}

void Exchange::ConfineToVersion() {
  placement_request_.version_ = choice_.version_;
  if (route_->resumable_ && !is_take_up_) {
    RecordOrigin(context_, {StreamId(),
                            {group_, choice_.version_},
                            choice_.upstream_,
                            connection_->opened_at()});
  }
}

void Exchange::OnEnd(const web::CallResult& end) {
  pause_timer_.Cancel();
  if (!end.complete_) {
    OnConnectionLost(
        end.malformed_ ? "the answer is no HTTP" : end.error_.message(),
        end.malformed_);
    return;
  }
  if (IsStreamed() && end.ended_by_close_ && splitter_.remainder_size() > 0) {
    OnConnectionLost("the stream ended inside an event", false);
    return;
  }
  // A response without a body.
  if (IsAuthentic() && !IsRejection()) {
    CountRun();
  }
  if (IsSuccess(response_head_.status_) && IsAuthentic()) {
    OnSuccess();
    return;
  }
  if (IsRejection()) {
    HandleRejection(response_info_.wrong_instance_ ? "another instance answered"
                                                   : "rejected");
    return;
  }
  const bool is_invalid = IsSuccess(response_head_.status_) || !IsAuthentic();
  ReleaseUpstream(response_head_.status_ >= kStatusServerError || is_invalid
                      ? CallOutcome::kFailed
                      : CallOutcome::kServed);
  HandleFailedSend(Verdict::kMayHaveExecuted,
                   is_invalid ? "the answer is not genuine" : "upstream error",
                   !is_invalid);
}

void Exchange::CountRun() {
  if (!std::exchange(is_run_counted_, true) && workspace_.has_value() &&
      context_.on_run_) {
    context_.on_run_(*workspace_);
  }
}

void Exchange::OnSuccess() {
  ReleaseUpstream(CallOutcome::kServed);
  RecordAnswered();
  RecordCompletion();
  context_.service_time_.OnServed(route_->name_, Now() - sent_at_);
  is_served_ = true;
  served_at_ = Now();
  context_.metrics_.Observe("bergamot_gateway_answer_ms", route_->name_,
                            static_cast<double>((Now() - arrived_).count()));
  if (caller_left_) {
    OnResponseSettled("the caller has left");
  } else {
    if (IsStreamed()) {
      const std::string rest = splitter_.ExtractRemainder();
      if (!response_started_ || !rest.empty()) {
        ForwardEvents(rest);
      }
      responder_->EndStream();
    } else {
      responder_->Reply(response_head_.status_, response_head_.headers_,
                        std::move(body_));
    }
  }
  End();
}

void Exchange::RecordAnswered() {
  if (!std::exchange(is_answered_, true)) {
    context_.part_quarantine_.OnAnswered(shared_parts_, Now());
  }
}

void Exchange::RecordCompletion() {
  if (context_.quarantine_.Check(digest_, Now()) !=
      policy::CrashStatus::kClear) {
    context_.quarantine_.OnCompleted(
        policy::RunningAttempt{digest_, was_suspect_}, Now());
    context_.broadcast_suspects_();
  }
}

}  // namespace bergamotscale::gateway
