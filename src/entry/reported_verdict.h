// The verdict reported to a caller whose request is refused or has failed.
#ifndef BERGAMOTSCALE_SRC_ENTRY_REPORTED_VERDICT_H_
#define BERGAMOTSCALE_SRC_ENTRY_REPORTED_VERDICT_H_

#include <optional>

#include "bergamotscale/verdict.h"

namespace bergamotscale::entry {

// An order may be sent several times with one idempotency key; the two verdicts
// separate the order from its latest send.
struct ReportedVerdict {
  // Covers the request and all earlier sends of the same order.
  Verdict request_ = Verdict::kMayHaveExecuted;
  // Set if this send was certainly not executed but an earlier send of the
  // order may have been.
  std::optional<Verdict> this_send_;
};

// What an entry knows about a request that it refuses or fails.
struct RefusedRequest {
  // True if the request has an idempotency key; then an earlier send may have
  // gone through another entry.
  bool is_order_ = false;
  // Verdict on this send alone.
  Verdict verdict_ = Verdict::kMayHaveExecuted;
  // Whether the log showed that no send of the order had been executed.
  bool order_not_executed_ = false;
};

// @return the verdict to report. An order is reported as not executed only if
// the log shows it. Pure. Thread safety: safe.
ReportedVerdict ResolveVerdict(const RefusedRequest& refused);

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_REPORTED_VERDICT_H_
