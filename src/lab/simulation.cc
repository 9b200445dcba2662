#include "src/lab/simulation.h"

#include "src/lab/proxy_simulation.h"
#include "src/lab/router_simulation.h"
#include "src/policy/baselines.h"

namespace bergamotscale::lab {

namespace {

policy::Baseline BaselineOf(PolicyKind kind) {
  switch (kind) {
    case PolicyKind::kLeastConnections:
      return policy::Baseline::kLeastConnections;
    case PolicyKind::kPushLeastLoaded:
      return policy::Baseline::kPushLeastLoaded;
    case PolicyKind::kPowerOfTwo:
      return policy::Baseline::kPowerOfTwo;
    default:
      return policy::Baseline::kRoundRobin;
  }
}

}  // namespace

const char* PolicyName(PolicyKind kind) {
  switch (kind) {
    case PolicyKind::kBergamot:
      return "bergamot";
    case PolicyKind::kFifo:
      return "fifo";
    default:
      return policy::BaselineName(BaselineOf(kind));
  }
}

std::vector<PolicyKind> AllPolicies() {
  return {PolicyKind::kBergamot,        PolicyKind::kFifo,
          PolicyKind::kRoundRobin,      PolicyKind::kLeastConnections,
          PolicyKind::kPushLeastLoaded, PolicyKind::kPowerOfTwo};
}

Result<PolicyKind> PolicyFromName(const std::string& name) {
  for (const PolicyKind kind : AllPolicies()) {
    if (name == PolicyName(kind)) {
      return kind;
    }
  }
  return Error(ErrorCode::kNotFound, "unknown policy " + name);
}

Report Simulate(const Scenario& scenario,
                const std::vector<Arrival>& arrivals,
                PolicyKind kind,
                uint64_t seed) {
  Recorder recorder(scenario, arrivals);
  if (kind == PolicyKind::kBergamot || kind == PolicyKind::kFifo) {
    RouterSimulation simulation(scenario, arrivals, recorder, seed,
                                kind == PolicyKind::kFifo);
    simulation.Run();
  } else {
    ProxySimulation simulation(scenario, arrivals, recorder, seed,
                               BaselineOf(kind));
    simulation.Run();
  }
  return recorder.MakeReport(PolicyName(kind), seed);
}

}  // namespace bergamotscale::lab
