// How much all entries see of each workspace, as a sidecar adds it up.
#ifndef BERGAMOTSCALE_SRC_POLICY_DEMAND_TABLE_H_
#define BERGAMOTSCALE_SRC_POLICY_DEMAND_TABLE_H_

#include <unordered_map>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// Requests per second of a workspace, as one process has seen them.
struct WorkspaceDemand {
  WorkspaceId workspace_;
  double per_second_ = 0;
};

// Keeps the newest report of each entry. Soft state: an entry that falls
// silent is forgotten after a few seconds.
// Thread safety: none.
class DemandTable {
 public:
  // Replaces what an entry has told before.
  void Take(const InstanceId& entry,
            std::vector<WorkspaceDemand> demands,
            Millis now);

  // @return the sums over all entries heard of lately, in the order of the
  // workspaces' names.
  std::vector<WorkspaceDemand> Sums(Millis now);

 private:
  struct Report {
    std::vector<WorkspaceDemand> demands_;
    Millis taken_;
  };

  std::unordered_map<InstanceId, Report> reports_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_DEMAND_TABLE_H_
