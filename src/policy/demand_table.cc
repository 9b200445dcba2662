#include "src/policy/demand_table.h"

#include <map>
#include <utility>

namespace bergamotscale::policy {

namespace {

constexpr Millis kReportRetention = Millis(5000);

}  // namespace

void DemandTable::RecordReport(const InstanceId& entry,
                               std::vector<WorkspaceDemand> demands,
                               Millis now) {
  reports_[entry] = Report{std::move(demands), now};
}

std::vector<WorkspaceDemand> DemandTable::SumDemands(Millis now) {
  std::map<WorkspaceId, double> sums;
  for (auto it = reports_.begin(); it != reports_.end();) {
    if (now - it->second.received_at_ > kReportRetention) {
      it = reports_.erase(it);
      continue;
    }
    for (const WorkspaceDemand& demand : it->second.demands_) {
      sums[demand.workspace_] += demand.per_second_;
    }
    ++it;
  }
  std::vector<WorkspaceDemand> result;
  result.reserve(sums.size());
  for (const auto& [workspace, per_second] : sums) {
    result.push_back({workspace, per_second});
  }
  return result;
}

}  // namespace bergamotscale::policy
