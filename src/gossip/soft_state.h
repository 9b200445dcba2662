// Converts gossip between wire messages and the types of the policy module.
#ifndef BERGAMOTSCALE_SRC_GOSSIP_SOFT_STATE_H_
#define BERGAMOTSCALE_SRC_GOSSIP_SOFT_STATE_H_

#include <vector>

#include "src/policy/demand_table.h"
#include "src/policy/quarantine.h"
#include "src/wire/messages.h"

namespace bergamotscale::gossip {

// All functions keep the values and their sequence. Thread safety: safe.

std::vector<wire::CrashVerdict> ToWire(
    const std::vector<policy::CrashRecord>& records);
std::vector<wire::WorkspaceDemand> ToWire(
    const std::vector<policy::WorkspaceDemand>& demands);

policy::CrashRecord FromWire(const wire::CrashVerdict& verdict);
std::vector<policy::WorkspaceDemand> FromWire(
    const std::vector<wire::WorkspaceDemand>& demands);

}  // namespace bergamotscale::gossip

#endif  // BERGAMOTSCALE_SRC_GOSSIP_SOFT_STATE_H_
