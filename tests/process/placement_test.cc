// Engine orders in real processes: only the holder of the lease issues them,
// and orders of former holders have no effect.
#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include <doctest/doctest.h>

#include "tests/process/placement_fleet.h"

namespace bergamotscale::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kHttpConflict = 409;
constexpr int kLongAnswer = 200;

// Runs callers that request one model, each with one request at a time.
class ModelCallers {
 public:
  ModelCallers(const PlacementFleet& fleet, std::string model, int callers) {
    for (int caller = 0; caller < callers; ++caller) {
      const int entry = caller % 2 + 1;
      callers_.emplace_back([this, &fleet, model, entry] {
        while (!stopped_) {
          const int status = fleet.ChatStatus(entry, model, kLongAnswer);
          ++(status == kHttpOk ? answered_ : failed_);
        }
      });
    }
  }
  ~ModelCallers() { Stop(); }
  ModelCallers(const ModelCallers&) = delete;
  ModelCallers& operator=(const ModelCallers&) = delete;

  // Waits for the requests in flight.
  void Stop() {
    stopped_ = true;
    for (std::thread& caller : callers_) {
      caller.join();
    }
    callers_.clear();
  }

  int answered() const { return answered_; }
  int failed() const { return failed_; }

 private:
  std::atomic<bool> stopped_{false};
  std::atomic<int> answered_{0};
  std::atomic<int> failed_{0};
  std::vector<std::thread> callers_;
};

}  // namespace

TEST_CASE("placement: a published model is loaded and then served") {
  // One load at a time, so that at first only one engine has the model.
  PlacementFleet fleet(PlacementOptions(2, 1));
  fleet.WaitForHolder();
  CHECK(fleet.ChatStatus(1, "headlines-8b") != kHttpOk);
  fleet.AddModel("headlines-8b");
  REQUIRE(WaitUntil(
      [&] { return fleet.ChatStatus(1, "headlines-8b") == kHttpOk; }));
  CHECK(fleet.CountEnginesWith("headlines-8b") == 1);
  for (int i = 0; i < 20; ++i) {
    CHECK(fleet.ChatStatus(1, "headlines-8b") == kHttpOk);
  }
  CHECK(fleet.WaitForModel("headlines-8b"));
  CHECK(fleet.WaitForEvent("sidecar-1", "order_applied"));
  // No order was executed twice.
  CHECK(fleet.CountOrders() == 2);
  fleet.CheckHistory();
}

TEST_CASE("placement: orders of a holder stopped past its lease are refused") {
  PlacementFleet fleet(PlacementOptions(2, kManyFetches));
  for (int round = 1; round <= 3; ++round) {
    const int older = fleet.WaitForHolder();
    const int64_t older_fence = fleet.FetchFence(older);
    fleet.Stop(older);
    const std::string model = "model-" + std::to_string(round);
    fleet.AddModel(model);
    const int newer = fleet.WaitForHolder();
    CHECK(newer != older);
    CHECK(fleet.FetchFence(newer) > older_fence);
    REQUIRE(fleet.WaitForModel(model));
    fleet.AppendOrder(older_fence, 1, model);
    fleet.AppendOrder(older_fence, 2, model);
    fleet.Continue();
    CHECK(fleet.WaitForEvent("entry-" + std::to_string(older), "lease_lost"));
    CHECK(fleet.WaitForEvent("sidecar-1", "order_refused"));
    CHECK(fleet.WaitForEvent("sidecar-2", "order_refused"));
    CHECK(fleet.CountEnginesWith(model) == 2);
    CHECK(fleet.ChatStatus(older, model) == kHttpOk);
  }
  fleet.CheckHistory();
}

TEST_CASE(
    "placement: a version is replaced and adapters are added in service") {
  PlacementFleet fleet(PlacementOptions(2, kManyFetches));
  fleet.AddModel("headlines-8b");
  REQUIRE(fleet.WaitForModel("headlines-8b"));
  // Entries know of the model too.
  REQUIRE(WaitUntil(
      [&] { return fleet.ChatStatus(1, "headlines-8b") == kHttpOk; }));
  fleet.ChangeModel("headlines-8b",
                    {{"version", "v2"}, {"adapters", {"stock", "sport"}}});
  const auto done = [&fleet] {
    return fleet.CountEnginesListing("\"v2\"") == 2 &&
           fleet.CountEnginesListing("\"stock\"") == 2 &&
           fleet.CountEnginesListing("\"sport\"") == 2;
  };
  // Requests are answered during the whole change.
  CHECK(WaitUntil([&] {
    CHECK(fleet.ChatStatus(1, "headlines-8b") == kHttpOk);
    return done();
  }));
  // Four orders for each engine: the model, its version and two adapters.
  CHECK(fleet.CountOrders() == 8);
  fleet.CheckHistory();
}

TEST_CASE(
    "placement: without its sidecar an engine may execute an older order") {
  PlacementFleet fleet(PlacementOptions(2, kManyFetches));
  const int older = fleet.WaitForHolder();
  const int64_t older_fence = fleet.FetchFence(older);
  fleet.Stop(older);
  fleet.AddModel("headlines-8b");
  REQUIRE(fleet.WaitForModel("headlines-8b"));
  CHECK(fleet.SendOrderToEngine(older_fence, 1, "headlines-8b") ==
        kHttpConflict);
  CHECK(fleet.SendOrderToEngine(older_fence, 2, "headlines-8b") == kHttpOk);
  const auto violations = fleet.Check();
  REQUIRE(!violations.empty());
  CHECK(violations.front().rule_ == tests::PlacementRule::kOlderFence);
}

TEST_CASE("placement: another entry takes over from a killed holder") {
  PlacementFleet fleet(PlacementOptions(2, kManyFetches));
  const int killed = fleet.WaitForHolder();
  const int64_t fence = fleet.FetchFence(killed);
  fleet.cluster().Kill("entry-" + std::to_string(killed));
  const int holder = fleet.WaitForHolder();
  CHECK(holder != killed);
  CHECK(fleet.FetchFence(holder) > fence);
  fleet.AddModel("headlines-8b");
  CHECK(fleet.WaitForModel("headlines-8b"));
  fleet.CheckHistory();
}

TEST_CASE(
    "placement: with the log down, requests are served without new orders") {
  PlacementFleet fleet(PlacementOptions(2, kManyFetches));
  fleet.WaitForHolder();
  fleet.AddModel("headlines-8b");
  REQUIRE(fleet.WaitForModel("headlines-8b"));
  const std::string faults = fleet.cluster().Url("log") + "/faults";
  REQUIRE(Request("POST", faults, R"({"down":true})").status_ == kHttpOk);
  // After the restart, the engine lacks the model that it was ordered to load.
  fleet.cluster().Kill("engine-1");
  fleet.cluster().Start("engine-1");
  CHECK(WaitUntil([&] { return fleet.FindHolder() == 0; }));
  const int orders = fleet.CountOrders();
  const auto end = steady_clock::now() + milliseconds(2 * kLeaseMs);
  while (steady_clock::now() < end) {
    CHECK(fleet.ChatStatus(1, Cluster::kModel) == kHttpOk);
    CHECK(fleet.ChatStatus(1, "headlines-8b") == kHttpOk);
  }
  CHECK(fleet.FindHolder() == 0);
  CHECK(fleet.CountEnginesWith("headlines-8b") == 1);
  CHECK(fleet.CountOrders() == orders);
  REQUIRE(Request("POST", faults, R"({"down":false})").status_ == kHttpOk);
  fleet.WaitForHolder();
  CHECK(fleet.WaitForModel("headlines-8b"));
  CHECK(fleet.CountOrders() == orders + 1);
  fleet.CheckHistory();
}

TEST_CASE("placement: loads keep within the weight store's limit") {
  ClusterOptions options = PlacementOptions(6, 2);
  options.weight_store_["fetches_per_window"] = 2;
  PlacementFleet fleet(options);
  fleet.WaitForHolder();
  fleet.AddModel("headlines-8b");
  const auto start = steady_clock::now();
  while (fleet.CountEnginesWith("headlines-8b") < 6 &&
         steady_clock::now() - start < 3 * kTimeout) {
    std::this_thread::sleep_for(milliseconds(100));
  }
  CHECK(fleet.CountEnginesWith("headlines-8b") == 6);
  CHECK(fleet.cluster().FetchJournal("weights").size() == 6);
  fleet.CheckHistory();
}

TEST_CASE("placement: without a load budget the store's limit is exceeded") {
  ClusterOptions options = PlacementOptions(6, kManyFetches);
  options.weight_store_["fetches_per_window"] = 2;
  PlacementFleet fleet(options);
  fleet.WaitForHolder();
  fleet.AddModel("headlines-8b");
  CHECK(WaitUntil(
      [&] { return fleet.cluster().FetchJournal("weights").size() >= 6; }));
  const auto violations = fleet.Check();
  REQUIRE(!violations.empty());
  CHECK(violations.front().rule_ == tests::PlacementRule::kOverLimit);
}

TEST_CASE("placement: a model in demand gets more engines, no request fails") {
  ClusterOptions options = PlacementOptions(4, kManyFetches);
  options.sidecar_settings_ = {{"initial_slots", 4}, {"max_slots", 4}};
  PlacementFleet fleet(options);
  fleet.WaitForHolder();
  fleet.SetModelsPerEngine(1);
  fleet.AddModel("headlines-8b");
  REQUIRE(WaitUntil([&] {
    return fleet.CountEnginesWith("headlines-8b") == 1 &&
           fleet.CountEnginesWith(Cluster::kModel) == 3;
  }));
  REQUIRE(WaitUntil(
      [&] { return fleet.ChatStatus(1, "headlines-8b") == kHttpOk; }));
  const auto start = steady_clock::now();
  ModelCallers busy(fleet, "headlines-8b", /*callers=*/12);
  ModelCallers quiet(fleet, Cluster::kModel, /*callers=*/1);
  const bool moved =
      WaitUntil([&] { return fleet.CountEnginesWith("headlines-8b") == 3; });
  const auto passed =
      std::chrono::duration_cast<milliseconds>(steady_clock::now() - start);
  MESSAGE("the model is in 3 engines after " << passed.count() << " ms");
  CHECK(moved);
  // Without demand, the model stays in its engines until another model needs
  // them.
  busy.Stop();
  std::this_thread::sleep_for(milliseconds(1000));
  quiet.Stop();
  CHECK(fleet.CountEnginesWith("headlines-8b") == 3);
  CHECK(fleet.CountEnginesWith(Cluster::kModel) == 1);
  CHECK(busy.answered() > 0);
  CHECK(busy.failed() == 0);
  CHECK(quiet.failed() == 0);
  CHECK(fleet.FindMostModels() == 1);
  fleet.CheckHistory();
}

TEST_CASE("placement: a model that is no longer configured is replaced") {
  ClusterOptions options = PlacementOptions(2, kManyFetches);
  PlacementFleet fleet(options);
  fleet.WaitForHolder();
  fleet.SetModelsPerEngine(1);
  fleet.AddModel("headlines-8b");
  REQUIRE(
      WaitUntil([&] { return fleet.CountEnginesWith("headlines-8b") == 1; }));
  fleet.RemoveModel("headlines-8b");
  fleet.AddModel("captions-8b");
  CHECK(WaitUntil([&] { return fleet.CountEnginesWith("captions-8b") == 1; }));
  CHECK(fleet.CountEnginesWith("headlines-8b") == 0);
  CHECK(fleet.CountEnginesWith(Cluster::kModel) == 1);
  fleet.CheckHistory();
}

}  // namespace bergamotscale::testing
