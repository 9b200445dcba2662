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
  // The policy in src/policy.
  kBergamot,
  // The same reservations and limits, but first in, first out and without
  // rejections.
  kFifo,
  // Plain proxies: each request goes to one engine's own queue at once. They
  // cancel a request when its caller has left, and restart a request from the
  // beginning if its engine crashes.
  kRoundRobin,
  kLeastConnections,
  kPushLeastLoaded,
  kPowerOfTwo,
};

// @return the name in reports, such as "round_robin".
const char* PolicyName(PolicyKind kind);

// @return all kinds, kBergamot first.
std::vector<PolicyKind> AllPolicies();

// @return the kind of that name, or kNotFound.
Result<PolicyKind> PolicyFromName(const std::string& name);

// Runs the arrivals through a policy. Equal arguments give equal reports.
// Thread safety: safe.
Report Simulate(const Scenario& scenario,
                const std::vector<Arrival>& arrivals,
                PolicyKind kind,
                uint64_t seed);

}  // namespace bergamotscale::lab

#endif  // BERGAMOTSCALE_SRC_LAB_SIMULATION_H_
