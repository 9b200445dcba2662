#include "src/entry/retry_rule.h"

namespace bergamotscale::entry {
namespace {

constexpr int kMaxWorkAttempts = 4;
constexpr int kMaxCrashes = 2;
constexpr Millis kUpstreamPatience = Millis(2000);

// Errors that another sidecar would answer with as well.
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

RetryChoice ChooseRetry(const FailedAttempt& failed) {
  if (IsFinal(failed.code_) || failed.crashes_ >= kMaxCrashes) {
    return RetryChoice::kGiveUp;
  }
  // An upstream's last report may be older than a change of its models.
  const bool lacks_model = failed.code_ == ErrorCode::kUnknownModel;
  if (lacks_model && failed.work_attempts_ >= kMaxWorkAttempts) {
    return RetryChoice::kGiveUp;
  }
  const bool nothing_ran =
      !failed.work_sent_ || failed.verdict_ == Verdict::kNotRun;
  if (nothing_ran) {
    const bool patient = failed.without_upstream_ < kUpstreamPatience;
    return patient ? RetryChoice::kReserveAgain : RetryChoice::kGiveUp;
  }
  const bool safe = failed.is_order_ || failed.idempotent_;
  if (!safe || failed.work_attempts_ >= kMaxWorkAttempts) {
    return RetryChoice::kGiveUp;
  }
  return RetryChoice::kRetry;
}

}  // namespace bergamotscale::entry
