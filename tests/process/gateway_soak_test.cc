// A short soak of the gateways of each deployment.
#include <string>

#include <doctest/doctest.h>

#include "tests/soak/gateway_soak.h"
#include "tests/support/child_process.h"

namespace bergamotscale::tests {
namespace {

void CheckSoak(SoakOptions options) {
  const ScratchFolder folder;
  options.folder_ = folder.File("");
  const SoakResult result = RunGatewaySoak(options);
  MESSAGE(result.requests_ << " requests, " << result.served_ << " served, "
                           << result.starts_ << " starts");
  for (const std::string& violation : result.violations_) {
    FAIL_CHECK(violation);
  }
  CHECK(result.served_ * 2 > result.requests_);
}

TEST_CASE("gateway soak: five gateways in stops, kills and faults, seed 1") {
  CheckSoak(SoakOptions());
}

TEST_CASE("gateway soak: four gateways in stops, kills and faults, seed 2") {
  SoakOptions options;
  options.seed_ = 2;
  options.gateways_ = 4;
  options.apps_ = 4;
  CheckSoak(options);
}

}  // namespace
}  // namespace bergamotscale::tests
