// Decides whether a failed send is retried.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_RETRY_RULE_H_
#define BERGAMOTSCALE_SRC_GATEWAY_RETRY_RULE_H_

#include "bergamotscale/units.h"
#include "bergamotscale/verdict.h"

namespace bergamotscale::gateway {

// A send without a complete and valid response.
struct FailedSend {
  // The outcome of this send alone.
  Verdict verdict_ = Verdict::kMayHaveExecuted;
  bool retry_allowed_ = false;  // the route allows more than one execution
  int executions_ = 0;          // sends so far that may have run
  int max_attempts_ = 1;
  int sends_ = 0;
  Millis time_left_;
};

// The next step after a failed send, if the retry budget allows it.
enum class NextStep {
  kRetry,
  kFail,
};

// Upper bound of sends per call, whatever the failures, so that a request
// doesn't try each instance of an overloaded fleet in turn.
inline constexpr int kMaxSends = 3;
// With less time left, a retry could not finish in time for its caller.
inline constexpr Millis kMinTimeLeft = Millis(50);

// @return the next step after a failed send. Thread safety: safe.
NextStep ChooseNextStep(const FailedSend& failed);

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_RETRY_RULE_H_
