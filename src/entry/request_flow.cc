#include "src/entry/request_flow.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <glog/logging.h>
#include <boost/asio/steady_timer.hpp>

#include "src/core/chrono_time.h"
#include "src/entry/attempt.h"
#include "src/entry/crash_report.h"
#include "src/entry/reported_verdict.h"
#include "src/entry/response_progress.h"
#include "src/entry/retry_rule.h"
#include "src/policy/quarantine.h"

namespace bergamotscale::entry {
namespace {

using timeline::EventType;

constexpr Millis kReservationRetryDelay = Millis(25);
constexpr Millis kDefaultRetryAfter = Millis(1000);

}  // namespace

class RequestFlow::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(TrafficContext& traffic,
       CallerRequest request,
       std::unique_ptr<ResponseWriter> writer,
       std::function<void()> on_end)
      : traffic_(traffic),
        request_(std::move(request)),
        writer_(std::move(writer)),
        on_end_(std::move(on_end)),
        progress_(traffic.steady_.Now()),
        deadline_timer_(traffic.io_),
        delay_timer_(traffic.io_) {}

  void Start() {
    traffic_.timeline_.Add(EventType::kArrived, request_.id_, InstanceId(),
                           "class " + request_.class_.name_.value() +
                               ", workspace " + request_.workspace_.value());
    Count("bergamot_requests");
    if (!CheckQuarantine() || !CheckAdmission()) {
      return;
    }
    traffic_.retry_budget_.OnRequest();
    StartDeadline();
    const std::weak_ptr<Impl> weak = weak_from_this();
    const auto start = [weak] {
      if (const auto self = weak.lock()) {
        self->StartAttemptSoon(Millis(0));
      }
    };
    entered_duplicate_gate_ = true;
    if (traffic_.duplicate_gate_.Enter(request_.digest_, request_.id_, start)) {
      StartAttempt();
    }
  }

  void CallerLeft() {
    if (ended_) {
      return;
    }
    traffic_.timeline_.Add(EventType::kCallerLeft, request_.id_);
    Count("bergamot_callers_left");
    Count("bergamot_wasted_tokens", progress_.tokens().count());
    End();
  }

 private:
  void Count(const char* name, int64_t amount = 1) {
    traffic_.metrics_.Add(name, request_.class_.name_.value(), amount);
  }

  Millis DeadlineLeft() const {
    return request_.class_.deadline_ -
           (traffic_.steady_.Now() - progress_.arrived());
  }

  // @return false if the request has been refused.
  bool CheckQuarantine() {
    const policy::CrashStatus crash_status =
        traffic_.quarantine_.Check(request_.digest_, traffic_.steady_.Now());
    suspect_ = suspect_ || crash_status == policy::CrashStatus::kSuspect;
    if (crash_status != policy::CrashStatus::kBlocked) {
      return true;
    }
    traffic_.timeline_.Add(EventType::kQuarantined, request_.id_);
    Refuse(Error(ErrorCode::kQuarantined), Millis(0));
    return false;
  }

  // @return false if the request has been refused.
  bool CheckAdmission() {
    policy::DispatchRequest dispatch_request;
    dispatch_request.class_ = request_.class_.name_;
    dispatch_request.tier_ = request_.class_.tier_;
    dispatch_request.group_ = request_.group_;
    dispatch_request.model_ = request_.model_;
    const Millis wait = traffic_.dispatcher_.EstimateBestWait(
        dispatch_request, traffic_.upstreams_.Views());
    policy::AdmissionRequest admission;
    admission.workspace_ = request_.workspace_;
    admission.class_ = request_.class_.name_;
    admission.first_token_left_ = request_.class_.first_token_;
    admission.deadline_left_ = request_.class_.deadline_;
    admission.expected_run_ = ExpectedRun();
    // If no upstream is available, the request is admitted and waits for one.
    const bool no_upstream = wait >= policy::Dispatcher::kNoUpstreamWait;
    admission.expected_wait_ = no_upstream ? Millis(0) : wait;
    const policy::AdmissionDecision decision =
        traffic_.admission_.Admit(admission, traffic_.steady_.Now());
    if (decision.admitted()) {
      return true;
    }
    Refuse(Error(decision.code_), decision.retry_after_);
    return false;
  }

  Millis ExpectedRun() const {
    if (request_.kind_ == GroupKind::kService) {
      return Millis(0);
    }
    const Tokens expected =
        traffic_.output_estimator_.Expected(request_.class_.name_);
    return request_.class_.between_tokens_ * expected.count();
  }

  void StartDeadline() {
    deadline_timer_.expires_after(ToChrono(request_.class_.deadline_));
    deadline_timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error && !self->ended_) {
            self->OnDeadline();
          }
        });
  }

  void OnDeadline() {
    if (attempt_ != nullptr && attempt_->has_sent_work()) {
      may_have_run_ = true;
      Count("bergamot_wasted_tokens", progress_.tokens().count());
    }
    Refuse(Error(ErrorCode::kDeadlineExceeded), Millis(0));
  }

  AttemptOptions NextAttemptOptions() const {
    AttemptOptions options;
    options.number_ = attempts_;
    options.waited_ = traffic_.steady_.Now() - progress_.arrived();
    options.deadline_left_ = DeadlineLeft();
    options.suspect_ = suspect_;
    options.avoided_sidecars_ = avoided_sidecars_;
    options.resume_text_ = progress_.text();
    options.resume_tokens_ = progress_.tokens();
    return options;
  }

  void StartAttempt() {
    ++attempts_;
    const std::weak_ptr<Impl> weak = weak_from_this();
    AttemptHooks hooks;
    hooks.on_chunk_ = [weak](const wire::Chunk& chunk) {
      if (const auto self = weak.lock()) {
        self->OnChunk(chunk);
      }
    };
    hooks.on_finished_ = [weak](const wire::Finished& finished) {
      if (const auto self = weak.lock()) {
        self->OnFinished(finished);
      }
    };
    hooks.on_failed_ = [weak](const AttemptFailure& failure) {
      if (const auto self = weak.lock()) {
        self->OnFailed(failure);
      }
    };
    attempt_ = std::make_unique<Attempt>(
        traffic_, request_, NextAttemptOptions(), std::move(hooks));
    ScheduleSuspectMove();
    attempt_->Start();
  }

  // A suspect reserves at one sidecar only. If that one doesn't grant in time,
  // the suspect tries another; nothing can have been executed, as no work was
  // sent.
  void ScheduleSuspectMove() {
    if (!suspect_) {
      return;
    }
    delay_timer_.expires_after(
        ToChrono(policy::GetSuspectAttemptTimeout(request_.class_.deadline_)));
    delay_timer_.async_wait([self = shared_from_this(), attempt = attempts_](
                                const boost::system::error_code& error) {
      if (!error && attempt == self->attempts_) {
        self->MoveSuspect();
      }
    });
  }

  void MoveSuspect() {
    if (ended_ || attempt_->has_sent_work()) {
      return;
    }
    const std::vector<InstanceId> tried_sidecars = attempt_->sidecars();
    avoided_sidecars_.insert(avoided_sidecars_.end(), tried_sidecars.begin(),
                             tried_sidecars.end());
    attempt_.reset();
    StartAttemptSoon(Millis(0));
  }

  void OnChunk(const wire::Chunk& chunk) {
    const bool first =
        progress_.Add(chunk.text_, chunk.tokens_, traffic_.steady_.Now());
    if (first) {
      traffic_.metrics_.Observe(
          "bergamot_first_token_ms", request_.class_.name_.value(),
          static_cast<double>(progress_.first_token_after().count()));
      traffic_.timeline_.Add(EventType::kFirstToken, request_.id_);
    }
    if (request_.stream_) {
      writer_->WriteChunk(chunk.text_);
    }
  }

  void OnFinished(const wire::Finished& finished) {
    traffic_.timeline_.Add(
        EventType::kFinished, request_.id_, InstanceId(),
        std::to_string(finished.output_tokens_.count()) + " tokens");
    if (request_.kind_ == GroupKind::kService) {
      writer_->ReplyService(finished.http_status_, finished.body_,
                            finished.content_type_, finished.replayed_);
    } else {
      FinishChat(finished);
    }
    CountFinished();
    completed_ = true;
    End();
  }

  void FinishChat(const wire::Finished& finished) {
    const TokenUsage usage{finished.prompt_tokens_, finished.output_tokens_,
                           finished.cached_tokens_};
    if (!finished.replayed_) {
      traffic_.output_estimator_.Observe(request_.class_.name_,
                                         progress_.tokens());
    }
    if (request_.stream_) {
      writer_->FinishStream(finished.finish_reason_, usage);
    } else {
      writer_->ReplyChat(progress_.text(), finished.finish_reason_, usage);
    }
  }

  void CountFinished() {
    Count("bergamot_finished");
    Count("bergamot_delivered_tokens", progress_.tokens().count());
    if (progress_.MetTargets(request_.class_, request_.kind_,
                             traffic_.steady_.Now())) {
      Count("bergamot_attained");
    }
  }

  void OnFailed(const AttemptFailure& failure) {
    const bool work_sent = attempt_->has_sent_work();
    if (work_sent) {
      ++work_attempts_;
      order_not_executed_ = failure.order_not_executed_;
      RecordUpstreamFailure(failure);
    } else {
      RecordNoUpstream(failure.error_.code_);
    }
    const RetryDecision choice = DecideRetry(Describe(failure, work_sent));
    VLOG(1) << request_.id_.value()
            << ": attempt failed: " << failure.error_.Message();
    if (choice == RetryDecision::kRetryWork &&
        traffic_.retry_budget_.TryRetry()) {
      Retry(failure);
    } else if (choice == RetryDecision::kRetryReservation) {
      RetryReservationLater();
    } else {
      FailRequest(failure);
    }
  }

  FailedAttempt Describe(const AttemptFailure& failure, bool work_sent) const {
    FailedAttempt failed;
    failed.code_ = failure.error_.code_;
    failed.verdict_ = failure.verdict_;
    failed.work_sent_ = work_sent;
    failed.idempotent_ = request_.idempotent_;
    failed.is_order_ = request_.is_order();
    failed.work_attempts_ = work_attempts_;
    failed.crashes_ = crashes_;
    failed.time_without_upstream_ =
        no_upstream_ ? traffic_.steady_.Now() - no_upstream_since_ : Millis(0);
    return failed;
  }

  // Makes the request a suspect if the upstream crashed while running it.
  void RecordUpstreamFailure(const AttemptFailure& failure) {
    no_upstream_ = false;
    avoided_sidecars_ = failure.sidecars_;
    if (failure.verdict_ != Verdict::kMayHaveExecuted) {
      return;
    }
    may_have_run_ = true;
    if (failure.error_.code_ != ErrorCode::kUpstreamFailed) {
      return;
    }
    failed_calls_.calls_with_upstream_up_ += failure.upstream_responds_ ? 1 : 0;
    failed_calls_.upstream_responds_ = failure.upstream_responds_;
    if (IsCrash(failed_calls_)) {
      ++crashes_;
      suspect_ = true;
      ReportCrash(traffic_, {request_.digest_, crashes_, failure.sidecars_});
    }
  }

  void RecordNoUpstream(ErrorCode code) {
    if (code == ErrorCode::kNoUpstream && !no_upstream_) {
      no_upstream_ = true;
      no_upstream_since_ = traffic_.steady_.Now();
      avoided_sidecars_.clear();
    }
  }

  void Retry(const AttemptFailure& failure) {
    const bool resumes = progress_.tokens() > Tokens(0);
    traffic_.timeline_.Add(resumes ? EventType::kResumed : EventType::kRetried,
                           request_.id_, InstanceId(),
                           ErrorName(failure.error_.code_));
    Count("bergamot_retries");
    StartAttemptSoon(suspect_
                         ? policy::GetSuspectRetryDelay(request_.class_.tier_)
                         : Millis(0));
  }

  void RetryReservationLater() { StartAttemptSoon(kReservationRetryDelay); }

  void StartAttemptSoon(Millis delay) {
    delay_timer_.expires_after(ToChrono(delay));
    delay_timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error && !self->ended_ && self->CheckQuarantine()) {
            self->StartAttempt();
          }
        });
  }

  void FailRequest(const AttemptFailure& failure) {
    Error error = failure.error_;
    if (crashes_ > 1) {
      traffic_.timeline_.Add(EventType::kQuarantined, request_.id_);
      error = Error(ErrorCode::kQuarantined);
    }
    Count("bergamot_wasted_tokens", progress_.tokens().count());
    const bool waiting_helps = HttpStatusOf(error.code_) == 503;
    const Millis retry_after =
        waiting_helps && failure.retry_after_ == Millis(0)
            ? kDefaultRetryAfter
            : failure.retry_after_;
    Refuse(error, retry_after);
  }

  // The verdict covers all attempts: if any of them may have been executed, so
  // may the request.
  void Refuse(const Error& error, Millis retry_after) {
    RefusedRequest refused;
    refused.is_order_ = request_.is_order();
    refused.verdict_ =
        may_have_run_ ? Verdict::kMayHaveExecuted : Verdict::kNotExecuted;
    refused.order_not_executed_ = order_not_executed_;
    const ReportedVerdict reported = ResolveVerdict(refused);
    traffic_.timeline_.Add(EventType::kRefused, request_.id_, InstanceId(),
                           std::string(ErrorName(error.code_)) + ", " +
                               VerdictName(reported.request_));
    traffic_.metrics_.Add("bergamot_refused", ErrorName(error.code_));
    writer_->Fail(error, reported, retry_after);
    End();
  }

  void End() {
    ended_ = true;
    attempt_.reset();
    deadline_timer_.cancel();
    delay_timer_.cancel();
    if (entered_duplicate_gate_) {
      traffic_.duplicate_gate_.Leave(request_.digest_, request_.id_,
                                     completed_);
    }
    on_end_();
  }

  TrafficContext& traffic_;
  const CallerRequest request_;
  const std::unique_ptr<ResponseWriter> writer_;
  const std::function<void()> on_end_;
  ResponseProgress progress_;
  boost::asio::steady_timer deadline_timer_;
  boost::asio::steady_timer delay_timer_;
  std::unique_ptr<Attempt> attempt_;
  std::vector<InstanceId> avoided_sidecars_;
  Millis no_upstream_since_;
  int attempts_ = 0;
  int work_attempts_ = 0;
  int crashes_ = 0;
  FailedCalls failed_calls_;
  bool no_upstream_ = false;
  bool suspect_ = false;
  bool may_have_run_ = false;
  bool entered_duplicate_gate_ = false;
  bool completed_ = false;
  // Whether the log showed to the last attempt that no send of the order had
  // been executed.
  bool order_not_executed_ = false;
  bool ended_ = false;
};

RequestFlow::RequestFlow(TrafficContext& traffic,
                         CallerRequest request,
                         std::unique_ptr<ResponseWriter> writer,
                         std::function<void()> on_end)
    : impl_(std::make_shared<Impl>(traffic,
                                   std::move(request),
                                   std::move(writer),
                                   std::move(on_end))) {}

RequestFlow::~RequestFlow() = default;

void RequestFlow::Start() {
  impl_->Start();
}

void RequestFlow::CallerLeft() {
  impl_->CallerLeft();
}

}  // namespace bergamotscale::entry
