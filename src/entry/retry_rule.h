// Whether a failed attempt is followed by another.
#ifndef BERGAMOTSCALE_SRC_ENTRY_RETRY_RULE_H_
#define BERGAMOTSCALE_SRC_ENTRY_RETRY_RULE_H_

#include "bergamotscale/error.h"
#include "bergamotscale/units.h"
#include "bergamotscale/verdict.h"

namespace bergamotscale::entry {

// What the rule looks at.
struct FailedAttempt {
  ErrorCode code_ = ErrorCode::kInternal;
  Verdict verdict_ = Verdict::kMayHaveRun;
  // Whether work was sent in this attempt.
  bool work_sent_ = false;
  bool idempotent_ = false;
  // An order's claim in the log arbitrates between attempts.
  bool is_order_ = false;
  // Attempts so far in which work was sent.
  int work_attempts_ = 0;
  // Upstream failures so far while they ran this request.
  int crashes_ = 0;
  // Time since the request found no upstream at all.
  Millis without_upstream_;
};

enum class RetryChoice {
  kGiveUp,
  // Place reservations once more; nothing has run, so it costs nothing.
  kReserveAgain,
  // Execute once more, if the retry budget allows.
  kRetry,
};

// @return what to do. Pure. Thread safety: safe.
RetryChoice ChooseRetry(const FailedAttempt& failed);

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_RETRY_RULE_H_
