#include "src/policy/descriptor_plan.h"

#include <algorithm>

namespace bergamotscale::policy {
namespace {

// Standard streams, event loops, timers, signals, listeners, the datagrams of
// peers, six connections to the platform's log, one to a peer, the settings.
constexpr int kFixedDescriptors = 28;
constexpr int kProbeListeners = 3;
constexpr int kMinProbes = 4;
constexpr int kMaxProbes = 32;
// One in this many descriptors is for probes.
constexpr int kProbeShare = 32;
// Of the rest, callers get two in three: most of their connections are idle.
constexpr int kCallerParts = 2;
constexpr int kAllParts = 3;

}  // namespace

DescriptorPlan PlanDescriptors(int max_descriptors) {
  const int probes = std::clamp(max_descriptors / kProbeShare / kProbeListeners,
                                kMinProbes, kMaxProbes);
  const int rest =
      max_descriptors - kFixedDescriptors - probes * kProbeListeners;
  DescriptorPlan plan;
  plan.probes_ = static_cast<size_t>(probes);
  plan.callers_ = static_cast<size_t>(rest * kCallerParts / kAllParts);
  plan.upstreams_ = static_cast<size_t>(rest) - plan.callers_;
  return plan;
}

}  // namespace bergamotscale::policy
