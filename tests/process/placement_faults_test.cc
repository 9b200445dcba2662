// Placement under single faults and pairs of faults. BERGAMOTSCALE_SEEDS sets
// the number of random pairs. If it is larger than CI's number, all single
// faults are tested too.
#include <chrono>
#include <random>

#include <doctest/doctest.h>

#include "tests/process/placement_fleet.h"
#include "tests/support/fault_pairs.h"

namespace bergamotscale::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kSeedsInCi = 1;
constexpr int kEngines = 3;
constexpr int kModelsPerEngine = 2;
// Longer than the lease and than the sidecar's timeout of an engine order.
constexpr milliseconds kFaultTime(6000);
// Shorter than the sidecar's timeout of an engine order.
constexpr milliseconds kBeforeCallTimeout(4800);
constexpr milliseconds kObservationTime(1500);
// Many planning intervals, which last 100 ms.
constexpr milliseconds kSettledTime(1500);

enum class Fault {
  kKillHolder,
  kStopHolder,
  kKillEngine,
  kStopEngine,
  kKillSidecar,
  kStopSidecar,
  kLogDown,
  kLogSlow,
  kLogSilent,
  kLogLosesAnswers,
  kSilentEngineLink,
  kCount,
};

constexpr int kFaultCount = static_cast<int>(Fault::kCount);

const char* FaultName(Fault fault) {
  constexpr const char* kNames[kFaultCount] = {
      "kill holder",  "stop holder",       "kill engine",       "stop engine",
      "kill sidecar", "stop sidecar",      "log down",          "log slow",
      "log silent",   "log loses answers", "silent engine link"};
  return kNames[static_cast<int>(fault)];
}

ClusterOptions FaultOptions() {
  ClusterOptions options = PlacementOptions(kEngines, 20);
  options.weight_store_["fetches_per_window"] = 20;
  return options;
}

// Adds and removes models while faults are active. Afterwards, all configured
// models must be served and no further engine orders be executed.
class FaultRun {
 public:
  FaultRun(uint64_t seed, std::vector<Fault> faults)
      : random_(seed), faults_(std::move(faults)), fleet_(FaultOptions()) {}

  void Execute() {
    fleet_.WaitForHolder();
    fleet_.SetModelsPerEngine(kModelsPerEngine);
    fleet_.AddModel("headlines-8b");
    fleet_.AddModel("captions-8b");
    Pause(1000);
    for (const Fault fault : faults_) {
      BeginFault(fault);
      Pause(500);
    }
    const bool publishes = !LogIsFaulty();
    if (publishes) {
      fleet_.RemoveModel("captions-8b");
      fleet_.AddModel("titles-8b");
    }
    std::this_thread::sleep_for(kFaultTime);
    for (auto fault = faults_.rbegin(); fault != faults_.rend(); ++fault) {
      EndFault(*fault);
    }
    if (!publishes) {
      fleet_.RemoveModel("captions-8b");
      fleet_.AddModel("titles-8b");
    }
    CheckSettled();
  }

 private:
  void Pause(uint64_t most_ms) {
    std::this_thread::sleep_for(milliseconds(random_() % most_ms));
  }

  bool LogIsFaulty() const {
    return std::any_of(faults_.begin(), faults_.end(), [](Fault fault) {
      return fault >= Fault::kLogDown && fault <= Fault::kLogLosesAnswers;
    });
  }

  bool IsTarget(const std::string& name) const {
    return std::any_of(
        targets_.begin(), targets_.end(),
        [&name](const auto& known) { return known.second == name; });
  }

  std::string PickInstance(const std::string& kind) {
    std::string name;
    do {
      name = kind + "-" + std::to_string(random_() % kEngines + 1);
    } while (IsTarget(name));
    return name;
  }

  // @return the entry that holds the lease. While the log is faulty, the holder
  // may be unknown; any entry without a fault is returned then.
  std::string FindHolder() const {
    const int holder = fleet_.FindHolder();
    const std::string other = IsTarget("entry-1") ? "entry-2" : "entry-1";
    return holder == 0 ? other : "entry-" + std::to_string(holder);
  }

  void PostLogFaults(const std::string& text) {
    REQUIRE(Request("POST", fleet_.cluster().Url("log") + "/faults", text)
                .status_ == kHttpOk);
  }

  void BeginFault(Fault fault) {
    switch (fault) {
      case Fault::kKillHolder:
      case Fault::kStopHolder:
        targets_[fault] = FindHolder();
        break;
      case Fault::kKillEngine:
      case Fault::kStopEngine:
        targets_[fault] = PickInstance("engine");
        break;
      case Fault::kKillSidecar:
      case Fault::kStopSidecar:
        targets_[fault] = PickInstance("sidecar");
        break;
      case Fault::kLogDown:
        return PostLogFaults(R"({"down": true})");
      case Fault::kLogSlow:
        return PostLogFaults(R"({"slow_ms": 700})");
      case Fault::kLogSilent:
        return PostLogFaults(R"({"silent": true})");
      case Fault::kLogLosesAnswers:
        return PostLogFaults(R"({"lose_answers": -1})");
      case Fault::kSilentEngineLink:
        fleet_.cluster().EngineRelay(1).Freeze();
        return;
      case Fault::kCount:
        return;
    }
    const std::string& target = targets_[fault];
    if (IsKill(fault)) {
      fleet_.cluster().Kill(target);
    } else {
      fleet_.cluster().Signal(target, SIGSTOP);
    }
  }

  static bool IsKill(Fault fault) {
    return fault == Fault::kKillHolder || fault == Fault::kKillEngine ||
           fault == Fault::kKillSidecar;
  }

  void EndFault(Fault fault) {
    if (IsKill(fault)) {
      fleet_.cluster().Start(targets_[fault]);
    } else if (targets_.count(fault) > 0) {
      fleet_.cluster().Signal(targets_[fault], SIGCONT);
    } else if (fault != Fault::kSilentEngineLink) {
      PostLogFaults(R"({"down": false, "slow_ms": 0, "lose_answers": 0,
                        "silent": false})");
    }
  }

  bool IsAsConfigured() const {
    return fleet_.CountEnginesWith(Cluster::kModel) > 0 &&
           fleet_.CountEnginesWith("headlines-8b") > 0 &&
           fleet_.CountEnginesWith("titles-8b") > 0;
  }

  bool NoOrderExecutedFor(milliseconds time) const {
    const int orders = fleet_.CountOrders();
    std::this_thread::sleep_for(time);
    return fleet_.CountOrders() == orders;
  }

  void CheckSettled() {
    const auto start = steady_clock::now();
    CHECK(WaitUntil([&] { return IsAsConfigured(); }));
    for (const char* model : {Cluster::kModel, "headlines-8b", "titles-8b"}) {
      CHECK(WaitUntil([&] { return fleet_.ChatStatus(1, model) == kHttpOk; }));
    }
    MESSAGE(
        "placement as configured "
        << std::chrono::duration_cast<milliseconds>(steady_clock::now() - start)
               .count()
        << " ms after the faults, " << fleet_.CountOrders() << " orders");
    CHECK(WaitUntil([&] { return NoOrderExecutedFor(kSettledTime); }));
    CHECK(fleet_.FindMostModels() <= kModelsPerEngine);
    fleet_.CheckHistory();
  }

  std::mt19937_64 random_;
  const std::vector<Fault> faults_;
  std::map<Fault, std::string> targets_;
  PlacementFleet fleet_;
};

void RunAndCheck(uint64_t seed, const std::vector<Fault>& faults) {
  std::string names;
  for (const Fault fault : faults) {
    names += std::string(" ") + FaultName(fault) + ",";
  }
  MESSAGE("seed " << seed << ":" << names);
  INFO("seed ", seed, ":", names);
  FaultRun(seed, faults).Execute();
}

// Stops an engine while an order waits in its socket. The engine executes the
// order when it continues, after the plan has forgotten it.
void DelayOrderPastNextPlan(PlacementFleet& fleet) {
  fleet.cluster().Signal("engine-1", SIGSTOP);
  fleet.AddModel("headlines-8b");
  std::this_thread::sleep_for(kFaultTime);
  fleet.RemoveModel("headlines-8b");
  fleet.AddModel("captions-8b");
  REQUIRE(WaitUntil([&] { return fleet.EngineLists(2, "captions-8b"); }));
  fleet.cluster().Signal("engine-1", SIGCONT);
}

void CheckModelLimitAfterwards(const PlacementFleet& fleet) {
  const auto end = steady_clock::now() + kObservationTime;
  int most = 0;
  while (steady_clock::now() < end) {
    most = std::max(most, fleet.FindMostModels());
    std::this_thread::sleep_for(milliseconds(20));
  }
  CHECK(most <= kModelsPerEngine);
  // The delayed order was in fact executed.
  const auto orders = fleet.ReadOrders(1);
  REQUIRE(!orders.empty());
  CHECK(orders[0].at("model") == "headlines-8b");
  CHECK(fleet.ChatStatus(1, "captions-8b") == kHttpOk);
}

}  // namespace

TEST_CASE(
    "placement faults: an order is still pending when the next is issued") {
  if (!tests::SeedsToRun(kSeedsInCi).long_run_) {
    return;
  }
  PlacementFleet fleet(PlacementOptions(2, kManyFetches));
  fleet.WaitForHolder();
  fleet.SetModelsPerEngine(kModelsPerEngine);
  DelayOrderPastNextPlan(fleet);
  CheckModelLimitAfterwards(fleet);
  fleet.CheckHistory();
}

// The engine continues after the planner stopped counting the order as pending,
// but before the sidecar's call times out.
TEST_CASE("placement faults: an engine executes an order late") {
  PlacementFleet fleet(PlacementOptions(2, kManyFetches));
  fleet.WaitForHolder();
  fleet.SetModelsPerEngine(kModelsPerEngine);
  const auto start = steady_clock::now();
  fleet.cluster().Signal("engine-1", SIGSTOP);
  fleet.AddModel("headlines-8b");
  std::this_thread::sleep_for(milliseconds(2500));
  fleet.RemoveModel("headlines-8b");
  fleet.AddModel("captions-8b");
  std::this_thread::sleep_until(start + kBeforeCallTimeout);
  fleet.cluster().Signal("engine-1", SIGCONT);
  CheckModelLimitAfterwards(fleet);
  fleet.CheckHistory();
}

TEST_CASE("placement faults: a sidecar stopped before it reports a load") {
  PlacementFleet fleet(PlacementOptions(2, kManyFetches));
  fleet.WaitForHolder();
  fleet.SetModelsPerEngine(kModelsPerEngine);
  fleet.AddModel("headlines-8b");
  REQUIRE(
      WaitUntil([&] { return !fleet.cluster().ReadOrderJournal(1).empty(); }));
  fleet.cluster().Signal("sidecar-1", SIGSTOP);
  std::this_thread::sleep_for(kFaultTime);
  fleet.RemoveModel("headlines-8b");
  fleet.AddModel("captions-8b");
  REQUIRE(WaitUntil([&] { return fleet.EngineLists(2, "captions-8b"); }));
  fleet.cluster().Signal("sidecar-1", SIGCONT);
  CheckModelLimitAfterwards(fleet);
  fleet.CheckHistory();
}

TEST_CASE("placement faults: each fault alone") {
  if (tests::SeedsToRun(kSeedsInCi).long_run_) {
    for (int fault = 0; fault < kFaultCount; ++fault) {
      RunAndCheck(static_cast<uint64_t>(fault) + 1,
                  {static_cast<Fault>(fault)});
    }
  }
}

TEST_CASE("placement faults: random pairs of faults") {
  const tests::SeedRange seeds = tests::SeedsToRun(kSeedsInCi);
  for (int seed = seeds.first_; seed <= seeds.last_; ++seed) {
    const tests::FaultPair pair = tests::GetFaultPair(kFaultCount, seed);
    RunAndCheck(
        static_cast<uint64_t>(seed),
        {static_cast<Fault>(pair.first_), static_cast<Fault>(pair.second_)});
  }
}

}  // namespace bergamotscale::testing
