// Divides the file descriptors of a gateway among its connections.
#ifndef BERGAMOTSCALE_SRC_POLICY_DESCRIPTOR_PLAN_H_
#define BERGAMOTSCALE_SRC_POLICY_DESCRIPTOR_PLAN_H_

#include <cstddef>

namespace bergamotscale::policy {

// Limits of open connections. Their sum leaves descriptors for listeners,
// timers, logs, peers and the platform's log.
struct DescriptorPlan {
  size_t callers_ = 0;
  size_t upstreams_ = 0;
  // Of each of the listeners for probes, operators and calls of peers.
  size_t probes_ = 0;
};

// Precondition: max_descriptors is at least kMinDescriptors.
// Thread safety: safe.
DescriptorPlan PlanDescriptors(int max_descriptors);

inline constexpr int kMinDescriptors = 64;

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_DESCRIPTOR_PLAN_H_
