// The demand on each workspace, summed over all entries by a sidecar.
#ifndef BERGAMOTSCALE_SRC_POLICY_DEMAND_TABLE_H_
#define BERGAMOTSCALE_SRC_POLICY_DEMAND_TABLE_H_

#include <unordered_map>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// Request rate of a workspace at one process.
struct WorkspaceDemand {
  WorkspaceId workspace_;
  double per_second_ = 0;
};

// Keeps the latest report of each entry. Soft state: a report that isn't
// renewed is dropped after a few seconds. Thread safety: none.
class DemandTable {
 public:
  // Replaces the previous report of an entry.
  void RecordReport(const InstanceId& entry,
                    std::vector<WorkspaceDemand> demands,
                    Millis now);

  // @return the sums over all entries with a recent report, ordered by
  // workspace.
  std::vector<WorkspaceDemand> SumDemands(Millis now);

 private:
  struct Report {
    std::vector<WorkspaceDemand> demands_;
    Millis received_at_;
  };

  std::unordered_map<InstanceId, Report> reports_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_DEMAND_TABLE_H_
