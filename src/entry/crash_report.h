// Reports requests that made an upstream crash, so that they become suspects.
#ifndef BERGAMOTSCALE_SRC_ENTRY_CRASH_REPORT_H_
#define BERGAMOTSCALE_SRC_ENTRY_CRASH_REPORT_H_

#include <cstdint>
#include <vector>

#include "bergamotscale/ids.h"
#include "src/entry/traffic_context.h"

namespace bergamotscale::entry {

// A request that was running on an upstream when the upstream crashed.
struct CrashReport {
  uint64_t digest_ = 0;
  // Crashes during this send of the request, including this one.
  int crashes_ = 0;
  // Sidecars that rejected the reservation or failed in this attempt. The last
  // element is the sidecar to which the work was sent.
  std::vector<InstanceId> sidecars_;
};

// Calls of one send of a request that failed at upstreams.
struct FailedCalls {
  // Whether a probe found the upstream up after the last call.
  bool upstream_responds_ = false;
  // Number of calls, including the last, after which the upstream was up.
  int calls_with_upstream_up_ = 0;
};

// @return whether the last failed call counts as a crash. If the upstream is
// up, the first failed call of a send counts as a lost connection. The second
// counts as a crash, because an upstream may have restarted before the probe.
// Pure. Thread safety: safe.
bool IsCrash(const FailedCalls& calls);

// Records the crash in the quarantine and sends gossip at once, because the
// caller may retry at another entry before the next gossip interval. The
// sidecar reports the same crash; peers keep the worse of two records, so it
// isn't counted twice. Thread safety: use on the traffic thread.
void ReportCrash(TrafficContext& traffic, const CrashReport& report);

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_CRASH_REPORT_H_
