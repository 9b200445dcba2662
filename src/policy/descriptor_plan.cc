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
// Percent of the memory that full buffers of all callers' connections may take,
// accepted or not. What requests and responses may use is 40 percent, and these
// buffers count there, too, once they have been measured.
constexpr int64_t kConnectionsPercent = 40;
constexpr int64_t kBacklogPercent = 10;
constexpr int64_t kAllPercent = 100;
constexpr int kMaxBacklog = 1'024;
// Callers of a gateway that ended connect elsewhere all at once.
constexpr int kMinBacklog = 256;
constexpr size_t kMinCallers = 64;

}  // namespace

DescriptorPlan PlanDescriptors(int max_descriptors,
                               Bytes memory,
                               Bytes system_buffer) {
  const int probes = std::clamp(max_descriptors / kProbeShare / kProbeListeners,
                                kMinProbes, kMaxProbes);
  const int rest =
      max_descriptors - kFixedDescriptors - probes * kProbeListeners;
  DescriptorPlan plan;
  plan.probes_ = static_cast<size_t>(probes);
  plan.callers_ = static_cast<size_t>(rest * kCallerParts / kAllParts);
  plan.upstreams_ = static_cast<size_t>(rest) - plan.callers_;
  plan.caller_backlog_ = kMaxBacklog;
  if (memory > Bytes(0)) {
    const Bytes connections = memory * kConnectionsPercent / kAllPercent;
    const Bytes backlog = memory * kBacklogPercent / kAllPercent;
    const auto callers =
        static_cast<size_t>(connections.count() / (system_buffer.count() * 2));
    plan.callers_ = std::min(plan.callers_, std::max(callers, kMinCallers));
    plan.caller_backlog_ =
        std::clamp(static_cast<int>(backlog.count() / system_buffer.count()),
                   kMinBacklog, kMaxBacklog);
  }
  return plan;
}

}  // namespace bergamotscale::policy
