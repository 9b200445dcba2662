// Replacement of every role, a list that lags, and the loss of a zone.
#include <csignal>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "bergamotscale/clock.h"
#include "src/http/client.h"
#include "tests/process/calls.h"
#include "tests/process/chat_load.h"
#include "tests/process/cluster.h"

namespace bergamotscale::testing {
namespace {

using std::chrono::milliseconds;

constexpr Millis kStopPatience(10000);
constexpr Millis kListLag(10000);
constexpr int kTokens = 50;
constexpr int kMaxPrinted = 10;

void Pause(int64_t millis) {
  std::this_thread::sleep_for(milliseconds(millis));
}

void CheckStops(Cluster& cluster, const std::string& name) {
  cluster.Signal(name, SIGTERM);
  CHECK_MESSAGE(cluster.WaitForExit(name, kStopPatience) == 0, name);
}

// Orders with keys of their own, each sent once, on a few threads.
class OrderLoad {
 public:
  explicit OrderLoad(const Cluster& cluster) : cluster_(cluster) {
    constexpr int kThreads = 4;
    for (int i = 0; i < kThreads; ++i) {
      threads_.emplace_back([this] { Run(); });
    }
  }
  ~OrderLoad() { Stop(); }
  OrderLoad(const OrderLoad&) = delete;
  OrderLoad& operator=(const OrderLoad&) = delete;

  void Stop() {
    stopped_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }
  int sent() const { return next_; }
  int failed() const { return failed_; }

 private:
  void Run() {
    while (!stopped_) {
      Sent order;
      order.path_ = "/v1/orders";
      order.order_key_ = "fleet-" + std::to_string(next_++);
      order.body_ = R"({"order":")" + order.order_key_ + R"("})";
      const std::string outcome = Send(cluster_, order);
      if (outcome != "200" && ++failed_ < kMaxPrinted) {
        MESSAGE(order.order_key_ << ": " << outcome);
      }
    }
  }

  const Cluster& cluster_;
  std::atomic<bool> stopped_{false};
  std::atomic<int> next_{0};
  std::atomic<int> failed_{0};
  std::vector<std::thread> threads_;
};

TEST_CASE("fleet: without the log chats go on and orders are not run") {
  Cluster cluster;
  ChatLoad load(cluster, SteadyLoad(kTokens));
  Pause(1000);
  CheckStops(cluster, "log");
  Sent order;
  order.path_ = "/v1/orders";
  order.body_ = "{}";
  order.order_key_ = "no-log";
  const std::string outcome = Send(cluster, order);
  CHECK_MESSAGE(outcome.rfind("503", 0) == 0, outcome);
  CHECK(outcome.find("not_run") != std::string::npos);
  CHECK(cluster.Journal("service").empty());
  Pause(2000);
  CheckNothingLost(load);
}

int OrdersIn(const Cluster& cluster,
             const std::string& service,
             std::set<std::string>* keys) {
  int orders = 0;
  for (const auto& record : cluster.Journal(service)) {
    CHECK(keys->insert(record["key"].get<std::string>()).second);
    ++orders;
  }
  return orders;
}

// The sidecar goes first, so that the service has nothing open when it goes.
TEST_CASE("fleet: services and their sidecars are replaced under load") {
  ClusterOptions options;
  options.services_ = 2;
  Cluster cluster(options);
  OrderLoad load(cluster);
  std::set<std::string> keys;
  int executed = 0;
  for (const std::string service : {"service", "service-2"}) {
    Pause(1500);
    CheckStops(cluster, "sidecar-" + service);
    executed += OrdersIn(cluster, service, &keys);
    CheckStops(cluster, service);
    cluster.Start(service);
    cluster.Start("sidecar-" + service);
    REQUIRE(cluster.WaitFor("sidecar-" + service, "/readyz"));
  }
  Pause(1000);
  load.Stop();
  executed += OrdersIn(cluster, "service", &keys);
  executed += OrdersIn(cluster, "service-2", &keys);
  MESSAGE(load.sent() << " orders");
  CHECK(load.sent() > 0);
  CHECK(load.failed() == 0);
  CHECK(executed == load.sent());
}

int FinishedOrders(const Cluster& cluster,
                   const std::string& service,
                   std::set<std::string>* keys) {
  int finished = 0;
  for (const auto& record : cluster.JournalFile(service)) {
    if (record["outcome"] == "finished") {
      CHECK(keys->insert(record["key"].get<std::string>()).second);
      ++finished;
    }
  }
  return finished;
}

// A service that ends its open requests and then refuses connections.
TEST_CASE("fleet: services are stopped under load before their sidecars") {
  ClusterOptions options;
  options.services_ = 2;
  Cluster cluster(options);
  OrderLoad load(cluster);
  for (const std::string service : {"service", "service-2", "service"}) {
    Pause(1500);
    CheckStops(cluster, service);
    cluster.Start(service);
    REQUIRE(cluster.WaitFor("sidecar-" + service, "/readyz"));
  }
  Pause(1000);
  load.Stop();
  std::set<std::string> keys;
  const int executed = FinishedOrders(cluster, "service", &keys) +
                       FinishedOrders(cluster, "service-2", &keys);
  MESSAGE(load.sent() << " orders");
  CHECK(load.sent() > 0);
  CHECK(load.failed() == 0);
  CHECK(executed == load.sent());
}

TEST_CASE("fleet: a console is replaced while operators read its pages") {
  Cluster cluster;
  REQUIRE(cluster.WaitFor("console", "/readyz"));
  ChatLoad load(cluster, SteadyLoad(kTokens));
  std::atomic<bool> stopped{false};
  std::atomic<int> pages{0};
  std::atomic<int> cut{0};
  constexpr int kReaders = 4;
  std::vector<std::thread> readers;
  readers.reserve(kReaders);
  for (int i = 0; i < kReaders; ++i) {
    readers.emplace_back([&] {
      while (!stopped) {
        http::Call call;
        call.url_ = cluster.Url("console") + "/login";
        const Result<http::Reply> reply = http::CallAndWait(call);
        pages += reply.ok() && reply.value().status_ == 200 ? 1 : 0;
        // A refused connection says that nothing was sent.
        const bool begun = !reply.ok() && reply.error().code_ !=
                                              ErrorCode::kUpstreamUnreachable;
        cut += begun ? 1 : 0;
      }
    });
  }
  Pause(1000);
  CheckStops(cluster, "console");
  cluster.Start("console");
  CHECK(cluster.WaitFor("console", "/readyz"));
  Pause(500);
  stopped = true;
  for (std::thread& reader : readers) {
    reader.join();
  }
  MESSAGE(pages.load() << " pages, " << cut.load() << " cut");
  CHECK(pages > 0);
  CHECK(cut == 0);
  CheckNothingLost(load);
}

Millis LastStart(const Cluster& cluster, int engine) {
  Millis last;
  for (const auto& record :
       cluster.Journal("engine-" + std::to_string(engine))) {
    last = std::max(last, Millis(record["start"].get<int64_t>()));
  }
  return last;
}

ClusterOptions LaggingList() {
  ClusterOptions options;
  options.instance_list_ = true;
  options.list_lag_ = kListLag;
  return options;
}

TEST_CASE("fleet: a leaving sidecar that is listed as live for 10 s more") {
  Cluster cluster(LaggingList());
  Pause(2000);
  ChatLoad load(cluster, SteadyLoad(kTokens));
  Pause(1000);
  const Millis stopped = Clock::Wall().Now();
  cluster.List("sidecar-1", "leaving");
  CheckStops(cluster, "sidecar-1");
  Pause(kListLag.count() + 2000);
  const Millis last = LastStart(cluster, 1);
  CHECK(last > Millis(0));
  CHECK(last - stopped < Millis(2000));
  CheckNothingLost(load);
}

TEST_CASE("fleet: a dead sidecar that is listed as live for 10 s more") {
  Cluster cluster(LaggingList());
  Pause(2000);
  ChatLoad load(cluster, SteadyLoad(kTokens));
  Pause(1000);
  REQUIRE(LastStart(cluster, 1) > Millis(0));
  cluster.List("sidecar-1", "gone");
  cluster.Kill("sidecar-1");
  Pause(kListLag.count() + 2000);
  CheckNothingLost(load);
}

// Zone 1 has entry-1, engines 1 and 3; zone 2 has entry-2, engines 2 and 4.
ClusterOptions TwoZones() {
  ClusterOptions options;
  options.engines_ = 4;
  options.entries_ = 2;
  options.zones_ = 2;
  options.sidecar_settings_ = {{"initial_slots", 4}, {"max_slots", 4}};
  return options;
}

const char* const kZoneTwo[] = {"entry-2", "sidecar-2", "engine-2", "sidecar-4",
                                "engine-4"};

int ExecutionsInZone(const Cluster& cluster, int zone) {
  int executions = 0;
  for (const int number : {zone, zone + 2}) {
    executions += static_cast<int>(
        cluster.Journal("engine-" + std::to_string(number)).size());
  }
  return executions;
}

LoadOptions LoadAt(int entry, int threads) {
  LoadOptions options = SteadyLoad(kTokens);
  options.threads_ = threads;
  options.only_entry_ = entry;
  return options;
}

void WaitForZoneTwo(Cluster& cluster) {
  for (const char* name : kZoneTwo) {
    REQUIRE_MESSAGE(cluster.WaitFor(name, "/healthz"), name);
  }
}

TEST_CASE("fleet: an entry prefers its own zone while it has free slots") {
  Cluster cluster(TwoZones());
  Pause(1000);
  ChatLoad light(cluster, LoadAt(1, 2));
  Pause(1500);
  CheckNothingLost(light);
  const int at_home = ExecutionsInZone(cluster, 1);
  const int abroad = ExecutionsInZone(cluster, 2);
  MESSAGE(at_home << " in the own zone, " << abroad << " in the other");
  CHECK(at_home > 2 * abroad);
}

// Takes zone 2 away under load and back.
void CheckZoneLoss(const std::function<void(Cluster&, const char*)>& lose,
                   const std::function<void(Cluster&, const char*)>& bring) {
  Cluster cluster(TwoZones());
  Pause(1000);
  const int abroad = ExecutionsInZone(cluster, 2);
  // More than the own zone's slots: it spills over.
  ChatLoad load(cluster, LoadAt(1, 24));
  Pause(1500);
  CHECK(ExecutionsInZone(cluster, 2) > abroad);
  for (const char* name : kZoneTwo) {
    lose(cluster, name);
  }
  Pause(6000);
  for (const char* name : kZoneTwo) {
    bring(cluster, name);
  }
  WaitForZoneTwo(cluster);
  const Millis back = Clock::Wall().Now();
  CHECK(WaitUntil(
      [&] {
        return std::max(LastStart(cluster, 2), LastStart(cluster, 4)) > back;
      },
      milliseconds(5000)));
  CheckNothingLost(load);
}

TEST_CASE("fleet: a zone is killed, requests end elsewhere, it comes back") {
  CheckZoneLoss(
      [](Cluster& cluster, const char* name) { cluster.Kill(name); },
      [](Cluster& cluster, const char* name) { cluster.Start(name); });
}

TEST_CASE("fleet: a zone goes silent, requests end elsewhere, it comes back") {
  CheckZoneLoss(
      [](Cluster& cluster, const char* name) { cluster.Signal(name, SIGSTOP); },
      [](Cluster& cluster, const char* name) {
        cluster.Signal(name, SIGCONT);
      });
}

}  // namespace
}  // namespace bergamotscale::testing
