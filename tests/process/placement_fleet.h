// A local system of processes for tests of placement.
#ifndef BERGAMOTSCALE_TESTS_PROCESS_PLACEMENT_FLEET_H_
#define BERGAMOTSCALE_TESTS_PROCESS_PLACEMENT_FLEET_H_

#include <algorithm>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "src/http/client.h"
#include "tests/process/chat_load.h"
#include "tests/process/cluster.h"
#include "tests/support/placement_history.h"

namespace bergamotscale::testing {

inline constexpr char kGroup[] = "keywording";
inline constexpr int kHttpOk = 200;
inline constexpr int kManyFetches = 1000;
inline constexpr int64_t kLeaseMs = 2000;
inline constexpr int64_t kWeightWindowMs = 3000;
inline constexpr std::chrono::milliseconds kTimeout(20000);

template <typename Condition>
bool WaitUntil(const Condition& condition) {
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

inline http::Reply Request(const std::string& method,
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
inline ClusterOptions PlacementOptions(int engines, int weight_fetches) {
  ClusterOptions options;
  options.engines_ = engines;
  options.entry_settings_["placement"] = {{"lease_ms", kLeaseMs},
                                          {"plan_interval_ms", 100},
                                          {"weight_fetches", weight_fetches},
                                          {"weight_window_ms", kWeightWindowMs},
                                          {"order_lifetime_ms", 1500},
                                          {"load_timeout_ms", 4000}};
  options.engine_settings_ = [](int number) {
    return nlohmann::json{{"checks_fence", number % 2 == 1},
                          {"load_time_ms", 200}};
  };
  options.weight_store_ = {{"fetch_ms", 100},
                           {"window_ms", kWeightWindowMs},
                           {"fetches_per_window", kManyFetches}};
  return options;
}

// A Cluster with a configuration that tests can change, and with accessors for
// the lease, the models in engines and the engine orders.
class PlacementFleet {
 public:
  explicit PlacementFleet(const ClusterOptions& options)
      : options_(options),
        cluster_(options_),
        document_(Cluster::StartDocument()) {}

  Cluster& cluster() { return cluster_; }

  nlohmann::json FetchPlacement(int entry) const {
    const std::string url = cluster_.Url("entry-" + std::to_string(entry));
    const http::Reply reply = Request("GET", url + "/placement");
    return nlohmann::json::parse(reply.body_.empty() ? "{}" : reply.body_);
  }

  // @return the number of the entry that reports that it holds the lease, or
  // zero. Skips the stopped entry.
  int FindHolder() const {
    for (int entry = 1; entry <= options_.entries_; ++entry) {
      if (entry != stopped_ && FetchPlacement(entry).value("held", false)) {
        return entry;
      }
    }
    return 0;
  }

  int WaitForHolder() const {
    int holder = 0;
    CHECK(WaitUntil([&] { return (holder = FindHolder()) != 0; }));
    REQUIRE(holder != 0);
    return holder;
  }

  int64_t FetchFence(int entry) const {
    return FetchPlacement(entry).at("fence");
  }

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

  void RemoveModel(const std::string& model) {
    nlohmann::json& models = document_["models"];
    models.erase(std::find_if(models.begin(), models.end(),
                              [&model](const nlohmann::json& known) {
                                return known["name"] == model;
                              }));
    cluster_.Publish(document_);
  }

  // Sets the number of models that fit in an engine. Published by the next
  // change of models.
  void SetModelsPerEngine(int models_per_engine) {
    for (nlohmann::json& group : document_["groups"]) {
      if (group["name"] == kGroup) {
        group["models_per_engine"] = models_per_engine;
      }
    }
  }

  void ChangeModel(const std::string& model, const nlohmann::json& change) {
    for (nlohmann::json& known : document_["models"]) {
      if (known["name"] == model) {
        known.update(change);
      }
    }
    cluster_.Publish(document_);
  }

  // @return whether the engine's list of models contains the text.
  bool EngineLists(int number, const std::string& text) const {
    const std::string url = cluster_.Url("engine-" + std::to_string(number));
    const http::Reply reply = Request("GET", url + "/v1/models");
    return reply.body_.find(text) != std::string::npos;
  }

  // @return the number of engines whose list of models contains the text.
  int CountEnginesListing(const std::string& text) const {
    int count = 0;
    for (int number = 1; number <= options_.engines_; ++number) {
      count += EngineLists(number, text) ? 1 : 0;
    }
    return count;
  }

  // @return the number of engines that have the model ready.
  int CountEnginesWith(const std::string& model) const {
    return CountEnginesListing('"' + model + '"');
  }

  bool WaitForModel(const std::string& model) const {
    return WaitUntil(
        [&] { return CountEnginesWith(model) == options_.engines_; });
  }

  int ChatStatus(int entry, const std::string& model, int tokens = 5) const {
    nlohmann::json body = nlohmann::json::parse(
        ChatBody(ChatContent(1, tokens), /*stream=*/false));
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

  // Appends an engine order to the log, as a former holder does whose append
  // was delayed.
  void AppendOrder(int64_t fence, int number, const std::string& model) const {
    const nlohmann::json order = {
        {"type", "engine_order"},
        {"fence", fence},
        {"order", "unload_model"},
        {"model", model},
        {"adapter", ""},
        {"version", ""},
        {"role", ""},
        {"sidecar", "sidecar-" + std::to_string(number)},
        {"wall_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count()}};
    const http::Reply reply =
        Request("POST", cluster_.Url("log") + "/streams/placement/append",
                order.dump());
    REQUIRE(reply.status_ == kHttpOk);
  }

  // Sends an engine order directly to the engine, bypassing its sidecar.
  // @return the HTTP status.
  int SendOrderToEngine(int64_t fence,
                        int number,
                        const std::string& model) const {
    const nlohmann::json order = {
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
    history.log_ = cluster_.FetchJournal("log");
    for (int number = 1; number <= options_.engines_; ++number) {
      history.engines_.push_back({"sidecar-" + std::to_string(number),
                                  cluster_.ReadOrderJournal(number)});
    }
    history.fetches_ = cluster_.FetchJournal("weights");
    history.max_fetches_ = options_.weight_store_.at("fetches_per_window");
    history.window_ms_ = kWeightWindowMs;
    return tests::CheckPlacement(history);
  }

  void CheckHistory() const {
    const auto violations = Check();
    CHECK_MESSAGE(violations.empty(), tests::Describe(violations));
  }

  // @return the largest number of models in any engine, ready or not.
  int FindMostModels() const {
    size_t most = 0;
    for (int number = 1; number <= options_.engines_; ++number) {
      const std::string url = cluster_.Url("engine-" + std::to_string(number));
      const std::string body = Request("GET", url + "/orders").body_;
      if (!body.empty()) {
        most = std::max(most, nlohmann::json::parse(body).at("models").size());
      }
    }
    return static_cast<int>(most);
  }

  // @return the engine orders that the engine has executed.
  std::vector<nlohmann::json> ReadOrders(int number) const {
    return cluster_.ReadOrderJournal(number);
  }

  // @return the number of engine orders that all engines have executed.
  int CountOrders() const {
    int count = 0;
    for (int number = 1; number <= options_.engines_; ++number) {
      count += static_cast<int>(cluster_.ReadOrderJournal(number).size());
    }
    return count;
  }

 private:
  const ClusterOptions options_;
  Cluster cluster_;
  nlohmann::json document_;
  int stopped_ = 0;
};

}  // namespace bergamotscale::testing

#endif  // BERGAMOTSCALE_TESTS_PROCESS_PLACEMENT_FLEET_H_
