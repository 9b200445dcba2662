// Whether a call that failed is sent again, and what its caller is told if not.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_REPEAT_RULE_H_
#define BERGAMOTSCALE_SRC_GATEWAY_REPEAT_RULE_H_

#include "bergamotscale/units.h"
#include "bergamotscale/verdict.h"

namespace bergamotscale::gateway {

// A send that did not yield a whole, good answer.
struct FailedSend {
  // Of this send alone.
  Verdict verdict_ = Verdict::kMayHaveRun;
  bool repeatable_ = false;  // the route allows more than one execution
  int executions_ = 0;       // sends so far that may have run
  int max_attempts_ = 1;
  int sends_ = 0;
  Millis time_left_;
};

// What follows, if the retry budget has room for it.
enum class NextStep {
  kSendAgain,
  kGiveUp,
};

// Sends beyond this are not made, however they failed; a full fleet must not be
// tried in turn.
inline constexpr int kMaxSends = 3;
// With less time left than this a further send serves nobody.
inline constexpr Millis kLeastTimeLeft = Millis(50);

// @return what follows a failed send. Thread safety: safe.
NextStep ChooseNextStep(const FailedSend& failed);

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_REPEAT_RULE_H_
