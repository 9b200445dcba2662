#include "src/entry/told_verdict.h"

namespace bergamotscale::entry {

ReportedVerdict ResolveVerdict(const RefusedRequest& refused) {
  const bool unknown_before = refused.is_order_ && !refused.order_not_run_;
  if (refused.verdict_ == Verdict::kNotRun && unknown_before) {
    return {Verdict::kMayHaveRun, Verdict::kNotRun};
  }
  return {refused.verdict_, std::nullopt};
}

}  // namespace bergamotscale::entry
