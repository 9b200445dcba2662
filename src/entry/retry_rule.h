// Decides whether a failed attempt is retried.
#ifndef BERGAMOTSCALE_SRC_ENTRY_RETRY_RULE_H_
#define BERGAMOTSCALE_SRC_ENTRY_RETRY_RULE_H_

#include "bergamotscale/error.h"
#include "bergamotscale/units.h"
#include "bergamotscale/verdict.h"

namespace bergamotscale::entry {

// The facts about a failed attempt on which the decision depends.
struct FailedAttempt {
  ErrorCode code_ = ErrorCode::kInternal;
  Verdict verdict_ = Verdict::kMayHaveExecuted;
  // Whether work was sent in this attempt.
  bool work_sent_ = false;
  bool idempotent_ = false;
  // For an order, the claim in the log prevents a second execution.
  bool is_order_ = false;
  // Number of attempts so far in which work was sent.
  int work_attempts_ = 0;
  // Number of upstream crashes so far while they ran this request.
  int crashes_ = 0;
  // Time for which no upstream has been available to the request.
  Millis time_without_upstream_;
};

enum class RetryDecision {
  // Report the error to the caller.
  kFail,
  // Reserve again. Not limited by the retry budget, since nothing was executed.
  kRetryReservation,
  // Execute again, if the retry budget allows.
  kRetryWork,
};

// @return the next step. Pure. Thread safety: safe.
RetryDecision DecideRetry(const FailedAttempt& failed);

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_RETRY_RULE_H_
