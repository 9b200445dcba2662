#include "src/entry/reported_verdict.h"

namespace bergamotscale::entry {

ReportedVerdict ResolveVerdict(const RefusedRequest& refused) {
  const bool unknown_before = refused.is_order_ && !refused.order_not_executed_;
  if (refused.verdict_ == Verdict::kNotExecuted && unknown_before) {
    return {Verdict::kMayHaveExecuted, Verdict::kNotExecuted};
  }
  return {refused.verdict_, std::nullopt};
}

}  // namespace bergamotscale::entry
