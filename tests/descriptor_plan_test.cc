#include "src/policy/descriptor_plan.h"

#include <initializer_list>

#include <doctest/doctest.h>

namespace bergamotscale::policy {
namespace {

TEST_CASE("descriptor plan: connections leave descriptors for the process") {
  constexpr size_t kOthers = 28;
  for (const int max : {kMinDescriptors, 80, 1'024, 4'100, 1'000'000}) {
    CAPTURE(max);
    const DescriptorPlan plan = PlanDescriptors(max);
    CHECK(plan.callers_ > 0);
    CHECK(plan.upstreams_ > 0);
    CHECK(plan.probes_ > 0);
    CHECK(plan.callers_ + plan.upstreams_ + 3 * plan.probes_ + kOthers <=
          static_cast<size_t>(max));
  }
}

}  // namespace
}  // namespace bergamotscale::policy
