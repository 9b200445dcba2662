// Distribution of the configuration in real processes under single faults and
// pairs of faults. BERGAMOTSCALE_SEEDS sets the number of random pairs. If it
// is larger than CI's number, an outage of 30 s is tested too.
#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "tests/process/config_bench.h"
#include "tests/support/fault_pairs.h"

namespace bergamotscale::tests {
namespace {

using config::PublishState;

constexpr int kSeedsInCi = 2;
constexpr std::chrono::milliseconds kFaultTime(3500);
constexpr std::chrono::milliseconds kLongFaultTime(30000);
constexpr int kPublications = 30;
constexpr Millis kInForceLimit(9000);

std::string NamesOf(const std::vector<ConfigFault>& faults) {
  std::string names;
  for (const ConfigFault fault : faults) {
    names += std::string(FaultName(fault)) + ", ";
  }
  return names;
}

void RunAndCheck(uint64_t seed,
                 const std::vector<ConfigFault>& faults,
                 std::chrono::milliseconds fault_time = kFaultTime) {
  ConfigBench bench(seed, faults);
  REQUIRE(bench.Start());
  bench.Run(fault_time);
  const std::vector<std::string> violations = bench.Check();
  MESSAGE("seed " << seed << ": " << NamesOf(faults)
                  << bench.CountOf(PublishState::kAccepted) << " accepted, "
                  << bench.CountOf(PublishState::kConflict) << " conflicts, "
                  << bench.CountOf(PublishState::kPending) << " pending, "
                  << bench.CountOf(PublishState::kNotPublished)
                  << " not published");
  std::string all;
  for (const std::string& violation : violations) {
    all += violation + "\n";
  }
  CHECK_MESSAGE(violations.empty(), all);
  CHECK(bench.CountOf(PublishState::kAccepted) > 2);
}

}  // namespace

TEST_CASE("config faults: each fault alone") {
  for (int fault = 0; fault < kConfigFaultCount; ++fault) {
    RunAndCheck(static_cast<uint64_t>(fault) + 1,
                {static_cast<ConfigFault>(fault)});
  }
}

TEST_CASE("config faults: random pairs of faults") {
  const SeedRange seeds = SeedsToRun(kSeedsInCi);
  for (int seed = seeds.first_; seed <= seeds.last_; ++seed) {
    const FaultPair pair = GetFaultPair(kConfigFaultCount, seed);
    RunAndCheck(static_cast<uint64_t>(seed),
                {static_cast<ConfigFault>(pair.first_),
                 static_cast<ConfigFault>(pair.second_)});
  }
}

TEST_CASE("config faults: the log is down for 30 s") {
  if (SeedsToRun(kSeedsInCi).long_run_) {
    RunAndCheck(1, {ConfigFault::kLogDown}, kLongFaultTime);
    RunAndCheck(2, {ConfigFault::kStartInOutage}, kLongFaultTime);
  }
}

TEST_CASE("config faults: time from publishing to in force everywhere") {
  ConfigBench bench(1, {});
  REQUIRE(bench.Start());
  std::vector<int64_t> times;
  times.reserve(kPublications);
  for (int round = 0; round < kPublications; ++round) {
    times.push_back(bench.PublishAndWaitForAll().count());
  }
  std::sort(times.begin(), times.end());
  MESSAGE("publishing to in force in 5 processes, "
          << kPublications << " publications: median "
          << times[times.size() / 2] << " ms, worst " << times.back() << " ms");
  CHECK(Millis(times.back()) < kInForceLimit);
}

}  // namespace bergamotscale::tests
