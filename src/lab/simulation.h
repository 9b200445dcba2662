// One run of an experiment: entries, sidecars and engines without sockets.
#ifndef BERGAMOTSCALE_SRC_LAB_SIMULATION_H_
#define BERGAMOTSCALE_SRC_LAB_SIMULATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bergamotscale/result.h"
#include "src/lab/arrivals.h"
#include "src/lab/recorder.h"
#include "src/lab/scenario.h"

namespace bergamotscale::lab {

enum class PolicyKind {
  // The policy of src/policy.
  kBergamot,
  // Its reservations and limits, but first come, first served and no refusals.
  kFifo,
  // Plain proxies: each request goes to one engine's own queue at once. They
  // drop what a caller that left no longer reads, and start a request that was
  // lost with its engine from the beginning.
  kRoundRobin,
  kLeastConnections,
  kPushLeastLoaded,
  kPowerOfTwo,
};

// @return the stable name, such as "round_robin".
const char* PolicyName(PolicyKind kind);

// @return all kinds, the product's first.
std::vector<PolicyKind> AllPolicies();

// @return the kind of that name, or kNotFound.
Result<PolicyKind> PolicyFromName(const std::string& name);

// Runs the arrivals through a policy. The same arguments give the same report.
// Thread safety: safe.
Report Simulate(const Scenario& scenario,
                const std::vector<Arrival>& arrivals,
                PolicyKind kind,
                uint64_t seed);

}  // namespace bergamotscale::lab

#endif  // BERGAMOTSCALE_SRC_LAB_SIMULATION_H_
