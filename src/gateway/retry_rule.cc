#include "src/gateway/retry_rule.h"

namespace bergamotscale::gateway {

NextStep ChooseNextStep(const FailedSend& failed) {
  if (failed.time_left_ < kMinTimeLeft || failed.sends_ >= kMaxSends) {
    return NextStep::kFail;
  }
  if (failed.verdict_ == Verdict::kNotExecuted) {
    return NextStep::kRetry;
  }
  const bool may_repeat =
      failed.retry_allowed_ && failed.executions_ < failed.max_attempts_;
  return may_repeat ? NextStep::kRetry : NextStep::kFail;
}

}  // namespace bergamotscale::gateway
