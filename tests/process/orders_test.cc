// Orders under single faults and pairs of faults. BERGAMOTSCALE_SEEDS sets the
// number of random pairs. All single faults are always tested.
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

void ReportRun(uint64_t seed,
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
  ReportRun(seed, faults, bench);
  const std::vector<Violation> violations = bench.Check();
  CHECK_MESSAGE(violations.empty(), Describe(violations));
  CHECK(bench.CountOf(SendResult::kAnswered) > 20);
}

int CountExecutedTwice(const std::vector<Violation>& violations) {
  int count = 0;
  for (const Violation& violation : violations) {
    count += violation.rule_ == Rule::kExecutedTwice ? 1 : 0;
  }
  return count;
}

// A fault has an effect only if its target is executing an order at that
// moment. This depends on the machine's speed, so several seeds are tried.
bool FindsDoubleExecution(Fault fault) {
  for (uint64_t seed = 1; seed <= kControlSeeds; ++seed) {
    OrdersBench bench(seed, KeyUse::kNoKeys, kLongService);
    REQUIRE(bench.Start());
    bench.Run({fault});
    ReportRun(seed, {fault}, bench);
    const int double_executions = CountExecutedTwice(bench.Check());
    MESSAGE(double_executions << " orders executed twice");
    if (double_executions > 0) {
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

// A sidecar that starts during an outage of the log doesn't know which orders
// were executed before, so it must not report them as not run.
TEST_CASE(
    "orders: a restarted sidecar without log gives no false \"not run\"") {
  OrdersBench bench(1);
  REQUIRE(bench.Start());
  bench.Kill("sidecar-2");
  REQUIRE(bench.SendTo("window", 0).result_ == SendResult::kAnswered);
  bench.PostLogFaults(R"({"down": true})");
  REQUIRE(bench.Restart("sidecar-2"));
  bench.Kill("sidecar-1");
  const Send retry = bench.SendTo("window", 1);
  CHECK(retry.result_ == SendResult::kMayHaveExecuted);
  CHECK(retry.this_send_not_run_);
  const std::vector<Violation> violations = bench.Check();
  CHECK_MESSAGE(violations.empty(), Describe(violations));
}

TEST_CASE(
    "orders: without claims, crashes and lost links cause double executions") {
  for (const Fault fault :
       {Fault::kKillEntry, Fault::kKillSidecar, Fault::kKillService,
        Fault::kStopService, Fault::kCutLink, Fault::kSilentLink}) {
    CHECK_MESSAGE(FindsDoubleExecution(fault), std::string(FaultName(fault)));
  }
}

TEST_CASE("orders: without claims, stopped processes cause double executions") {
  for (const Fault fault : {Fault::kStopEntry, Fault::kStopSidecar}) {
    CHECK(FindsDoubleExecution(fault));
  }
}

}  // namespace bergamotscale::tests
