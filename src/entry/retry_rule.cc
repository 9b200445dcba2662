#include "src/entry/retry_rule.h"

namespace bergamotscale::entry {
namespace {

constexpr int kMaxWorkAttempts = 4;
constexpr int kMaxCrashes = 2;
constexpr Millis kMaxTimeWithoutUpstream = Millis(2000);

// @return whether another sidecar would return the same error.
bool IsFinal(ErrorCode code) {
  switch (code) {
    case ErrorCode::kMalformedBody:
    case ErrorCode::kMissingIdempotencyKey:
    case ErrorCode::kKeyReusedForOtherBody:
    case ErrorCode::kKeyExpired:
    case ErrorCode::kQuarantined:
    case ErrorCode::kClaimedElsewhere:
    case ErrorCode::kLogUnavailable:
    case ErrorCode::kLogOutcomeUnknown:
    case ErrorCode::kDeadlineExceeded:
    case ErrorCode::kDeadlineUnreachable:
    case ErrorCode::kOverloaded:
      return true;
    default:
      return false;
  }
}

}  // namespace

RetryDecision DecideRetry(const FailedAttempt& failed) {
  if (IsFinal(failed.code_) || failed.crashes_ >= kMaxCrashes) {
    return RetryDecision::kFail;
  }
  // The upstream's models may have changed since its last report, so another
  // upstream may have the model.
  const bool lacks_model = failed.code_ == ErrorCode::kUnknownModel;
  if (lacks_model && failed.work_attempts_ >= kMaxWorkAttempts) {
    return RetryDecision::kFail;
  }
  const bool nothing_ran =
      !failed.work_sent_ || failed.verdict_ == Verdict::kNotExecuted;
  if (nothing_ran) {
    const bool may_wait =
        failed.time_without_upstream_ < kMaxTimeWithoutUpstream;
    return may_wait ? RetryDecision::kRetryReservation : RetryDecision::kFail;
  }
  const bool safe = failed.is_order_ || failed.idempotent_;
  if (!safe || failed.work_attempts_ >= kMaxWorkAttempts) {
    return RetryDecision::kFail;
  }
  return RetryDecision::kRetryWork;
}

}  // namespace bergamotscale::entry
