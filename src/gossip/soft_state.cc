#include "src/gossip/soft_state.h"

namespace bergamotscale::gossip {

std::vector<wire::CrashVerdict> ToWire(
    const std::vector<policy::CrashRecord>& records) {
  std::vector<wire::CrashVerdict> verdicts;
  verdicts.reserve(records.size());
  for (const policy::CrashRecord& record : records) {
    verdicts.push_back({record.digest_, record.crashes_, record.blocked_,
                        record.expires_in_, record.source_});
  }
  return verdicts;
}

std::vector<wire::WorkspaceDemand> ToWire(
    const std::vector<policy::WorkspaceDemand>& demands) {
  std::vector<wire::WorkspaceDemand> converted;
  converted.reserve(demands.size());
  for (const policy::WorkspaceDemand& demand : demands) {
    converted.push_back({demand.workspace_, demand.per_second_});
  }
  return converted;
}

policy::CrashRecord FromWire(const wire::CrashVerdict& verdict) {
  return {verdict.digest_, verdict.crashes_, verdict.blocked_,
          verdict.expires_in_, verdict.source_};
}

std::vector<policy::WorkspaceDemand> FromWire(
    const std::vector<wire::WorkspaceDemand>& demands) {
  std::vector<policy::WorkspaceDemand> converted;
  converted.reserve(demands.size());
  for (const wire::WorkspaceDemand& demand : demands) {
    converted.push_back({demand.workspace_, demand.per_second_});
  }
  return converted;
}

}  // namespace bergamotscale::gossip
