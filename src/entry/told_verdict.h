// What a caller is told of whether its request was executed.
#ifndef BERGAMOTSCALE_SRC_ENTRY_TOLD_VERDICT_H_
#define BERGAMOTSCALE_SRC_ENTRY_TOLD_VERDICT_H_

#include <optional>

#include "bergamotscale/verdict.h"

namespace bergamotscale::entry {

struct ToldVerdict {
  // Of the request, with every earlier send of the same order.
  Verdict request_ = Verdict::kMayHaveRun;
  // Set if the send that is answered surely was not executed, but an earlier
  // send of the order may have been.
  std::optional<Verdict> this_send_;
};

// What an entry knows when it refuses.
struct RefusedSend {
  // Sends of an order share its key; an earlier one may have gone through
  // another entry.
  bool is_order_ = false;
  Verdict verdict_ = Verdict::kMayHaveRun;
  // Whether the log said that no send of the order had been executed.
  bool order_not_run_ = false;
};

// @return what to tell. Pure. Thread safety: safe.
ToldVerdict TellVerdict(const RefusedSend& refused);

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_TOLD_VERDICT_H_
