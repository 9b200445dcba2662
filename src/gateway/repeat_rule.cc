#include "src/gateway/repeat_rule.h"

namespace bergamotscale::gateway {

NextStep ChooseNextStep(const FailedSend& failed) {
  if (failed.time_left_ < kLeastTimeLeft || failed.sends_ >= kMaxSends) {
    return NextStep::kGiveUp;
  }
  if (failed.verdict_ == Verdict::kNotRun) {
    return NextStep::kSendAgain;
  }
  const bool may_repeat =
      failed.repeatable_ && failed.executions_ < failed.max_attempts_;
  return may_repeat ? NextStep::kSendAgain : NextStep::kGiveUp;
}

}  // namespace bergamotscale::gateway
