// Orders under faults, alone and in pairs. BERGAMOTSCALE_SEEDS sets how many
// random pairs are run; the faults alone are run each time.
#include <cstdlib>

#include <doctest/doctest.h>

#include "tests/process/orders_bench.h"

namespace bergamotscale::tests {
namespace {

constexpr int kSeedsInCi = 2;
constexpr uint64_t kControlSeeds = 4;

int SeedCount() {
  const char* text = std::getenv("BERGAMOTSCALE_SEEDS");
  return text == nullptr ? kSeedsInCi : std::atoi(text);
}

void Tell(uint64_t seed,
          const std::vector<Fault>& faults,
          const OrdersBench& bench) {
  std::string names;
  for (const Fault fault : faults) {
    names += std::string(FaultName(fault)) + ", ";
  }
  MESSAGE("seed " << seed << ": " << names << bench.sends().size() << " sends: "
                  << bench.CountOf(SendResult::kAnswered) << " answered, "
                  << bench.CountOf(SendResult::kNotRun) << " not run, "
                  << bench.CountOf(SendResult::kMayHaveRun) << " may have run, "
                  << bench.CountOf(SendResult::kUnanswered) << " unanswered");
}

void RunAndCheck(uint64_t seed, const std::vector<Fault>& faults) {
  OrdersBench bench(seed);
  REQUIRE(bench.Start());
  bench.Run(faults);
  Tell(seed, faults, bench);
  const std::vector<Violation> violations = bench.Check();
  CHECK_MESSAGE(violations.empty(), Describe(violations));
  CHECK(bench.CountOf(SendResult::kAnswered) > 20);
}

int TimesExecutedTwice(const std::vector<Violation>& violations) {
  int count = 0;
  for (const Violation& violation : violations) {
    count += violation.rule_ == Rule::kExecutedTwice ? 1 : 0;
  }
  return count;
}

// A fault only shows if an order runs on its target at that moment, which
// depends on the pace of the machine; so several seeds are tried.
bool ExecutesTwiceWithoutClaims(Fault fault) {
  for (uint64_t seed = 1; seed <= kControlSeeds; ++seed) {
    OrdersBench bench(seed, KeyUse::kNoKeys, kLongService);
    REQUIRE(bench.Start());
    bench.Run({fault});
    Tell(seed, {fault}, bench);
    const int twice = TimesExecutedTwice(bench.Check());
    MESSAGE(twice << " orders executed twice");
    if (twice > 0) {
      return true;
    }
  }
  return false;
}

}  // namespace

TEST_CASE("orders: no fault") {
  RunAndCheck(0, {});
}

TEST_CASE("orders: each fault alone") {
  for (int fault = 0; fault < kFaultCount; ++fault) {
    RunAndCheck(static_cast<uint64_t>(fault) + 1, {static_cast<Fault>(fault)});
  }
}

TEST_CASE("orders: random pairs of faults") {
  for (int seed = 1; seed <= SeedCount(); ++seed) {
    std::mt19937_64 random(static_cast<uint64_t>(seed) * 1000);
    const auto first = static_cast<int>(random() % kFaultCount);
    const auto other =
        (first + 1 + static_cast<int>(random() % (kFaultCount - 1))) %
        kFaultCount;
    RunAndCheck(random(),
                {static_cast<Fault>(first), static_cast<Fault>(other)});
  }
}

TEST_CASE("orders: without claims the same faults execute twice") {
  for (const Fault fault : {Fault::kStopEntry, Fault::kStopSidecar}) {
    CHECK(ExecutesTwiceWithoutClaims(fault));
  }
}

}  // namespace bergamotscale::tests
