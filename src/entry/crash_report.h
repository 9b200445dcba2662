// What an entry tells its peers when an upstream crashed under a request.
#ifndef BERGAMOTSCALE_SRC_ENTRY_CRASH_REPORT_H_
#define BERGAMOTSCALE_SRC_ENTRY_CRASH_REPORT_H_

#include <cstdint>
#include <vector>

#include "bergamotscale/ids.h"
#include "src/entry/traffic.h"

namespace bergamotscale::entry {

// A request that ran at an upstream when that crashed.
struct CrashReport {
  uint64_t digest_ = 0;
  // Crashes that this send of the request has met, this one included.
  int crashes_ = 0;
  // Sidecars of the attempt; the last one is where the work was.
  std::vector<InstanceId> sidecars_;
};

// The calls of one send of a request that upstreams failed.
struct FailedCalls {
  // Whether the last call's upstream was found up after it.
  bool upstream_up_ = false;
  // Calls, the last included, whose upstreams were found up.
  int upstreams_up_ = 0;
};

// @return whether the last failed call counts as a crash. A call that breaks
// off at an upstream that is up is a lost connection; the second one of a send
// counts, as an upstream may have been restarted before it was probed.
// Pure. Thread safety: safe.
bool IsCrash(const FailedCalls& calls);

// Takes the crash into quarantine and tells peers at once: the caller may send
// the request again to another entry before the next round of gossip. Peers
// take the worse of two records, so that the sidecar telling of the same crash
// counts nothing twice. Thread safety: on the traffic thread.
void TellOfCrash(Traffic& traffic, const CrashReport& report);

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_CRASH_REPORT_H_
