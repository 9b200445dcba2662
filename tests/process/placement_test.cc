// Orders to engines through real processes: who gives them, and that no older
// holder's order stands.
#include <csignal>

#include <chrono>
#include <string>
#include <thread>

#include <doctest/doctest.h>

#include "src/http/client.h"
#include "tests/process/chat_load.h"
#include "tests/process/cluster.h"
#include "tests/support/placement_history.h"

namespace bergamotscale::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr char kGroup[] = "keywording";
constexpr milliseconds kPatience(20000);
constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;
constexpr int kManyFetches = 1000;
constexpr int64_t kLeaseMs = 2000;
constexpr int64_t kWindowMs = 3000;

template <typename Condition>
bool WaitUntil(const Condition& condition) {
  const auto end = steady_clock::now() + kPatience;
  while (!condition()) {
    if (steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return true;
}

http::Reply Request(const std::string& method,
                    const std::string& url,
                    const std::string& body = {}) {
  http::Call call;
  call.method_ = method;
  call.url_ = url;
  call.body_ = body;
  const Result<http::Reply> reply = http::CallAndWait(call);
  return reply.ok() ? reply.value() : http::Reply();
}

// Engines with an even number ignore fences.
ClusterOptions Options(int engines, int weight_fetches) {
  ClusterOptions options;
  options.engines_ = engines;
  options.entry_settings_["placement"] = {{"lease_ms", kLeaseMs},
                                          {"plan_interval_ms", 100},
                                          {"weight_fetches", weight_fetches},
                                          {"weight_window_ms", kWindowMs},
                                          {"order_lifetime_ms", 1500},
                                          {"load_timeout_ms", 4000}};
  options.engine_settings_ = [](int number) {
    return json{{"checks_fence", number % 2 == 1}, {"load_time_ms", 200}};
  };
  options.weight_store_ = {{"fetch_ms", 100},
                           {"window_ms", kWindowMs},
                           {"fetches_per_window", kManyFetches}};
  return options;
}

// The system with what the tests ask of it.
class Fleet {
 public:
  explicit Fleet(const ClusterOptions& options)
      : options_(options),
        cluster_(options_),
        document_(Cluster::StartDocument()) {}

  Cluster& cluster() { return cluster_; }

  json Placement(int entry) const {
    const std::string url = cluster_.Url("entry-" + std::to_string(entry));
    const http::Reply reply = Request("GET", url + "/placement");
    return json::parse(reply.body_.empty() ? "{}" : reply.body_);
  }

  // @return the number of the entry that believes to hold the lease, or zero.
  int Holder() const {
    for (int entry = 1; entry <= options_.entries_; ++entry) {
      if (entry != stopped_ && Placement(entry).value("held", false)) {
        return entry;
      }
    }
    return 0;
  }

  int WaitForHolder() const {
    int holder = 0;
    CHECK(WaitUntil([&] { return (holder = Holder()) != 0; }));
    REQUIRE(holder != 0);
    return holder;
  }

  int64_t Fence(int entry) const { return Placement(entry).at("fence"); }

  void Stop(int entry) {
    stopped_ = entry;
    cluster_.Signal("entry-" + std::to_string(entry), SIGSTOP);
  }

  void Continue() {
    cluster_.Signal("entry-" + std::to_string(stopped_), SIGCONT);
    stopped_ = 0;
  }

  void AddModel(const std::string& model) {
    document_["models"].push_back({{"name", model}, {"group", kGroup}});
    cluster_.Publish(document_);
  }

  void ChangeModel(const std::string& model, const json& change) {
    for (json& known : document_["models"]) {
      if (known["name"] == model) {
        known.update(change);
      }
    }
    cluster_.Publish(document_);
  }

  // @return the number of engines whose list of models has the text.
  int EnginesShowing(const std::string& text) const {
    int count = 0;
    for (int number = 1; number <= options_.engines_; ++number) {
      const std::string url = cluster_.Url("engine-" + std::to_string(number));
      const http::Reply reply = Request("GET", url + "/v1/models");
      count += reply.body_.find(text) != std::string::npos ? 1 : 0;
    }
    return count;
  }

  // @return the number of engines that have the model ready.
  int EnginesWith(const std::string& model) const {
    return EnginesShowing('"' + model + '"');
  }

  bool WaitForModel(const std::string& model) const {
    return WaitUntil([&] { return EnginesWith(model) == options_.engines_; });
  }

  int ChatStatus(int entry, const std::string& model) const {
    json body = json::parse(ChatBody(ChatContent(1, 5), /*stream=*/false));
    body["model"] = model;
    http::Call call;
    call.method_ = "POST";
    call.url_ =
        cluster_.Url("entry-" + std::to_string(entry)) + "/v1/chat/completions";
    call.headers_ = {
        {"Authorization", std::string("Bearer ") + Cluster::kWorkspaceKey}};
    call.body_ = body.dump();
    const Result<http::Reply> reply = http::CallAndWait(call);
    return reply.ok() ? reply.value().status_ : 0;
  }

  // Appends an order as a holder would whose append comes late.
  void AppendOrder(int64_t fence, int number, const std::string& model) const {
    const json order = {
        {"type", "engine_order"},
        {"fence", fence},
        {"order", "unload_model"},
        {"model", model},
        {"adapter", ""},
        {"version", ""},
        {"role", ""},
        {"sidecar", "sidecar-" + std::to_string(number)},
        {"wall_ms", std::chrono::duration_cast<milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count()}};
    const http::Reply reply =
        Request("POST", cluster_.Url("log") + "/streams/placement/append",
                order.dump());
    REQUIRE(reply.status_ == kHttpOk);
  }

  // Past the sidecars.
  int GiveDirectly(int64_t fence, int number, const std::string& model) const {
    const json order = {
        {"fence", fence}, {"order", "unload_model"}, {"model", model}};
    return Request("POST",
                   cluster_.Url("engine-" + std::to_string(number)) + "/orders",
                   order.dump())
        .status_;
  }

  bool WaitForEvent(const std::string& process, const std::string& event) {
    const std::string wanted = "\"event\":\"" + event + "\"";
    return WaitUntil([&] {
      return Request("GET", cluster_.Url(process) + "/timeline")
                 .body_.find(wanted) != std::string::npos;
    });
  }

  std::vector<tests::PlacementViolation> Check() const {
    tests::PlacementHistory history;
    history.log_ = cluster_.Journal("log");
    for (int number = 1; number <= options_.engines_; ++number) {
      history.engines_.push_back(
          {"sidecar-" + std::to_string(number), cluster_.OrderJournal(number)});
    }
    history.fetches_ = cluster_.Journal("weights");
    history.max_fetches_ = options_.weight_store_.at("fetches_per_window");
    history.window_ms_ = kWindowMs;
    return tests::CheckPlacement(history);
  }

  void CheckHistory() const {
    const auto violations = Check();
    CHECK_MESSAGE(violations.empty(), tests::Describe(violations));
  }

  int CountOrders() const {
    int count = 0;
    for (int number = 1; number <= options_.engines_; ++number) {
      count += static_cast<int>(cluster_.OrderJournal(number).size());
    }
    return count;
  }

 private:
  const ClusterOptions options_;
  Cluster cluster_;
  json document_;
  int stopped_ = 0;
};

}  // namespace

TEST_CASE("placement: a published model is loaded and then served") {
  // One load at a time, so that for a while only some engines have it.
  Fleet fleet(Options(2, 1));
  fleet.WaitForHolder();
  CHECK(fleet.ChatStatus(1, "headlines-8b") != kHttpOk);
  fleet.AddModel("headlines-8b");
  REQUIRE(WaitUntil(
      [&] { return fleet.ChatStatus(1, "headlines-8b") == kHttpOk; }));
  CHECK(fleet.EnginesWith("headlines-8b") == 1);
  for (int i = 0; i < 20; ++i) {
    CHECK(fleet.ChatStatus(1, "headlines-8b") == kHttpOk);
  }
  CHECK(fleet.WaitForModel("headlines-8b"));
  CHECK(fleet.WaitForEvent("sidecar-1", "order_applied"));
  // Nothing is ordered twice.
  CHECK(fleet.CountOrders() == 2);
  fleet.CheckHistory();
}

TEST_CASE(
    "placement: a holder stopped past its lease gives no standing order") {
  Fleet fleet(Options(2, kManyFetches));
  for (int round = 1; round <= 3; ++round) {
    const int older = fleet.WaitForHolder();
    const int64_t older_fence = fleet.Fence(older);
    fleet.Stop(older);
    const std::string model = "model-" + std::to_string(round);
    fleet.AddModel(model);
    const int newer = fleet.WaitForHolder();
    CHECK(newer != older);
    CHECK(fleet.Fence(newer) > older_fence);
    REQUIRE(fleet.WaitForModel(model));
    fleet.AppendOrder(older_fence, 1, model);
    fleet.AppendOrder(older_fence, 2, model);
    fleet.Continue();
    CHECK(fleet.WaitForEvent("entry-" + std::to_string(older), "lease_lost"));
    CHECK(fleet.WaitForEvent("sidecar-1", "order_refused"));
    CHECK(fleet.WaitForEvent("sidecar-2", "order_refused"));
    CHECK(fleet.EnginesWith(model) == 2);
    CHECK(fleet.ChatStatus(older, model) == kHttpOk);
  }
  fleet.CheckHistory();
}

TEST_CASE("placement: a version is replaced and adapters come in service") {
  Fleet fleet(Options(2, kManyFetches));
  fleet.AddModel("headlines-8b");
  REQUIRE(fleet.WaitForModel("headlines-8b"));
  // Entries have seen it too.
  REQUIRE(WaitUntil(
      [&] { return fleet.ChatStatus(1, "headlines-8b") == kHttpOk; }));
  fleet.ChangeModel("headlines-8b",
                    {{"version", "v2"}, {"adapters", {"stock", "sport"}}});
  const auto done = [&fleet] {
    return fleet.EnginesShowing("\"v2\"") == 2 &&
           fleet.EnginesShowing("\"stock\"") == 2 &&
           fleet.EnginesShowing("\"sport\"") == 2;
  };
  // Requests are answered all the while.
  CHECK(WaitUntil([&] {
    CHECK(fleet.ChatStatus(1, "headlines-8b") == kHttpOk);
    return done();
  }));
  // Per engine: the model, its version, two adapters.
  CHECK(fleet.CountOrders() == 8);
  fleet.CheckHistory();
}

TEST_CASE("placement: past the sidecar an older order reaches an engine") {
  Fleet fleet(Options(2, kManyFetches));
  const int older = fleet.WaitForHolder();
  const int64_t older_fence = fleet.Fence(older);
  fleet.Stop(older);
  fleet.AddModel("headlines-8b");
  REQUIRE(fleet.WaitForModel("headlines-8b"));
  CHECK(fleet.GiveDirectly(older_fence, 1, "headlines-8b") == kHttpConflict);
  CHECK(fleet.GiveDirectly(older_fence, 2, "headlines-8b") == kHttpOk);
  const auto violations = fleet.Check();
  REQUIRE(!violations.empty());
  CHECK(violations.front().rule_ == tests::PlacementRule::kOlderFence);
}

TEST_CASE("placement: another entry takes over from a killed holder") {
  Fleet fleet(Options(2, kManyFetches));
  const int killed = fleet.WaitForHolder();
  const int64_t fence = fleet.Fence(killed);
  fleet.cluster().Kill("entry-" + std::to_string(killed));
  const int holder = fleet.WaitForHolder();
  CHECK(holder != killed);
  CHECK(fleet.Fence(holder) > fence);
  fleet.AddModel("headlines-8b");
  CHECK(fleet.WaitForModel("headlines-8b"));
  fleet.CheckHistory();
}

TEST_CASE("placement: with the log down there is service and no new order") {
  Fleet fleet(Options(2, kManyFetches));
  fleet.WaitForHolder();
  fleet.AddModel("headlines-8b");
  REQUIRE(fleet.WaitForModel("headlines-8b"));
  const std::string faults = fleet.cluster().Url("log") + "/faults";
  REQUIRE(Request("POST", faults, R"({"down":true})").status_ == kHttpOk);
  // It comes back without the model that it was ordered to load.
  fleet.cluster().Kill("engine-1");
  fleet.cluster().Start("engine-1");
  CHECK(WaitUntil([&] { return fleet.Holder() == 0; }));
  const int orders = fleet.CountOrders();
  const auto end = steady_clock::now() + milliseconds(2 * kLeaseMs);
  while (steady_clock::now() < end) {
    CHECK(fleet.ChatStatus(1, Cluster::kModel) == kHttpOk);
    CHECK(fleet.ChatStatus(1, "headlines-8b") == kHttpOk);
  }
  CHECK(fleet.Holder() == 0);
  CHECK(fleet.EnginesWith("headlines-8b") == 1);
  CHECK(fleet.CountOrders() == orders);
  REQUIRE(Request("POST", faults, R"({"down":false})").status_ == kHttpOk);
  fleet.WaitForHolder();
  CHECK(fleet.WaitForModel("headlines-8b"));
  CHECK(fleet.CountOrders() == orders + 1);
  fleet.CheckHistory();
}

TEST_CASE("placement: loads keep within the weight store's limit") {
  ClusterOptions options = Options(6, 2);
  options.weight_store_["fetches_per_window"] = 2;
  Fleet fleet(options);
  fleet.WaitForHolder();
  fleet.AddModel("headlines-8b");
  const auto start = steady_clock::now();
  while (fleet.EnginesWith("headlines-8b") < 6 &&
         steady_clock::now() - start < 3 * kPatience) {
    std::this_thread::sleep_for(milliseconds(100));
  }
  CHECK(fleet.EnginesWith("headlines-8b") == 6);
  CHECK(fleet.cluster().Journal("weights").size() == 6);
  fleet.CheckHistory();
}

TEST_CASE("placement: without sharing out the store's limit is exceeded") {
  ClusterOptions options = Options(6, kManyFetches);
  options.weight_store_["fetches_per_window"] = 2;
  Fleet fleet(options);
  fleet.WaitForHolder();
  fleet.AddModel("headlines-8b");
  CHECK(WaitUntil(
      [&] { return fleet.cluster().Journal("weights").size() >= 6; }));
  const auto violations = fleet.Check();
  REQUIRE(!violations.empty());
  CHECK(violations.front().rule_ == tests::PlacementRule::kOverLimit);
}

}  // namespace bergamotscale::testing
