// A soak of gateways as real processes: callers, servers and a store under
// seeded series of stops, kills, freezes, reloads and faults that overlap.
#ifndef BERGAMOTSCALE_TESTS_SOAK_GATEWAY_SOAK_H_
#define BERGAMOTSCALE_TESTS_SOAK_GATEWAY_SOAK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bergamotscale/units.h"

namespace bergamotscale::tests {

struct SoakOptions {
  uint64_t seed_ = 1;
  Millis duration_ = Millis(20'000);
  int gateways_ = 5;
  int engines_ = 9;
  int apps_ = 3;
  int callers_ = 80;
  // Only planned stops, with and without a reload, and configurations.
  bool planned_only_ = false;
  // Receives the settings and the logs of the gateways.
  std::string folder_;
};

struct SoakResult {
  // Each with its rule, the request and what was seen.
  std::vector<std::string> violations_;
  int requests_ = 0;
  int served_ = 0;
  int refused_ = 0;
  int taken_up_ = 0;  // streams that broke off or that their caller left
  int gone_on_ = 0;   // of these
  int starts_ = 0;
  int faults_ = 0;
};

// Runs a soak. Thread safety: one at a time in a process.
SoakResult RunGatewaySoak(const SoakOptions& options);

}  // namespace bergamotscale::tests

#endif  // BERGAMOTSCALE_TESTS_SOAK_GATEWAY_SOAK_H_
