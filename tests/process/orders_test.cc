// Orders under faults, alone and in pairs. BERGAMOTSCALE_SEEDS sets how many
// random pairs are run; the faults alone are run each time.
#include <chrono>

#include <doctest/doctest.h>

#include "tests/process/orders_bench.h"
#include "tests/support/fault_pairs.h"

namespace bergamotscale::tests {
namespace {

constexpr int kSeedsInCi = 2;
constexpr std::chrono::milliseconds kFaultTime(3500);
constexpr std::chrono::milliseconds kLongFaultTime(30000);
constexpr uint64_t kControlSeeds = 4;

void Tell(uint64_t seed,
          const std::vector<Fault>& faults,
          const OrdersBench& bench) {
  std::string names;
  for (const Fault fault : faults) {
    names += std::string(FaultName(fault)) + ", ";
  }
  MESSAGE("seed " << seed << ": " << names << bench.sends().size()
                  << " sends: " << bench.CountOf(SendResult::kAnswered)
                  << " answered, " << bench.CountOf(SendResult::kNotExecuted)
                  << " not run, " << bench.CountOf(SendResult::kMayHaveExecuted)
                  << " may have run, " << bench.CountOf(SendResult::kUnanswered)
                  << " unanswered");
}

void RunAndCheck(uint64_t seed,
                 const std::vector<Fault>& faults,
                 std::chrono::milliseconds fault_time = kFaultTime) {
  OrdersBench bench(seed);
  REQUIRE(bench.Start());
  bench.RunFor(faults, fault_time);
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
  const SeedRange seeds = SeedsToRun(kSeedsInCi);
  for (int seed = seeds.first_; seed <= seeds.last_; ++seed) {
    const FaultPair pair = GetFaultPair(kFaultCount, seed);
    RunAndCheck(
        static_cast<uint64_t>(seed),
        {static_cast<Fault>(pair.first_), static_cast<Fault>(pair.second_)});
  }
}

TEST_CASE("orders: the log is down for 30 s") {
  if (SeedsToRun(kSeedsInCi).long_run_) {
    RunAndCheck(1, {Fault::kLogDown}, kLongFaultTime);
  }
}

// What was executed before an outage is unknown to a process that starts in
// it.
TEST_CASE(
    "orders: a resend to a fresh sidecar in an outage isn't \"not run\"") {
  OrdersBench bench(1);
  REQUIRE(bench.Start());
  bench.Kill("sidecar-2");
  REQUIRE(bench.SendTo("window", 0).result_ == SendResult::kAnswered);
  bench.PostLogFaults(R"({"down": true})");
  REQUIRE(bench.Restart("sidecar-2"));
  bench.Kill("sidecar-1");
  const Send resend = bench.SendTo("window", 1);
  CHECK(resend.result_ == SendResult::kMayHaveExecuted);
  CHECK(resend.this_send_not_run_);
  const std::vector<Violation> violations = bench.Check();
  CHECK_MESSAGE(violations.empty(), Describe(violations));
}

TEST_CASE("orders: without claims each fault of a process executes twice") {
  for (const Fault fault :
       {Fault::kKillEntry, Fault::kKillSidecar, Fault::kKillService,
        Fault::kStopService, Fault::kCutLink, Fault::kSilentLink}) {
    CHECK_MESSAGE(ExecutesTwiceWithoutClaims(fault),
                  std::string(FaultName(fault)));
  }
}

TEST_CASE("orders: without claims the same faults execute twice") {
  for (const Fault fault : {Fault::kStopEntry, Fault::kStopSidecar}) {
    CHECK(ExecutesTwiceWithoutClaims(fault));
  }
}

}  // namespace bergamotscale::tests
