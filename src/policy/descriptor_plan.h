// Divides the file descriptors of a gateway among its connections.
#ifndef BERGAMOTSCALE_SRC_POLICY_DESCRIPTOR_PLAN_H_
#define BERGAMOTSCALE_SRC_POLICY_DESCRIPTOR_PLAN_H_

#include <cstddef>

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// Limits of open connections. Their sum leaves descriptors for listeners,
// timers, logs, peers and the platform's log.
struct DescriptorPlan {
  size_t callers_ = 0;
  size_t upstreams_ = 0;
  // Of each of the listeners for probes, operators and calls of peers.
  size_t probes_ = 0;
  // Limit of the connections of callers that the kernel holds until they are
  // accepted.
  int caller_backlog_ = 0;
};

// The system's buffers of a connection count towards the memory of the machine,
// whether or not the process has accepted it. Callers that read nothing, or
// send without waiting for responses, fill them faster than the process can
// count them, so that the memory also bounds the number of connections.
// Precondition: max_descriptors is at least kMinDescriptors.
// @param memory limit of the memory of the process; zero for none.
// @param system_buffer what the system holds at most in each direction of a
// connection.
// Thread safety: safe.
DescriptorPlan PlanDescriptors(int max_descriptors,
                               Bytes memory,
                               Bytes system_buffer);

inline constexpr int kMinDescriptors = 64;

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_DESCRIPTOR_PLAN_H_
