// Replaces processes of each role under load, delays the instance list, and
// stops a whole availability zone. No request may be lost.
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

constexpr Millis kStopTimeout(10000);
constexpr Millis kListLag(10000);
constexpr int kTokens = 50;
constexpr int kMaxPrinted = 10;

void Pause(int64_t millis) {
  std::this_thread::sleep_for(milliseconds(millis));
}

void StopAndCheckExitCode(Cluster& cluster, const std::string& name) {
  cluster.Signal(name, SIGTERM);
  CHECK_MESSAGE(cluster.WaitForExit(name, kStopTimeout) == 0, name);
}

// Sends orders on a few threads, each order once and with a unique key.
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
      TestRequest order;
      order.path_ = "/v1/orders";
      order.idempotency_key_ = "fleet-" + std::to_string(next_++);
      order.body_ = R"({"order":")" + order.idempotency_key_ + R"("})";
      const std::string outcome = Send(cluster_, order);
      if (outcome != "200" && ++failed_ < kMaxPrinted) {
        MESSAGE(order.idempotency_key_ << ": " << outcome);
      }
    }
  }

  const Cluster& cluster_;
  std::atomic<bool> stopped_{false};
  std::atomic<int> next_{0};
  std::atomic<int> failed_{0};
  std::vector<std::thread> threads_;
};

TEST_CASE("fleet: without the log, chats continue and orders are not run") {
  Cluster cluster;
  ChatLoad load(cluster, MakeUnlimitedLoad(kTokens));
  Pause(1000);
  StopAndCheckExitCode(cluster, "log");
  TestRequest order;
  order.path_ = "/v1/orders";
  order.body_ = "{}";
  order.idempotency_key_ = "no-log";
  const std::string outcome = Send(cluster, order);
  CHECK_MESSAGE(outcome.rfind("503", 0) == 0, outcome);
  CHECK(outcome.find("not_run") != std::string::npos);
  CHECK(cluster.FetchJournal("service").empty());
  Pause(2000);
  StopAndCheckAnswers(load);
}

int CountOrders(const Cluster& cluster,
                const std::string& service,
                std::set<std::string>* keys) {
  int orders = 0;
  for (const auto& record : cluster.FetchJournal(service)) {
    CHECK(keys->insert(record["key"].get<std::string>()).second);
    ++orders;
  }
  return orders;
}

// The sidecar is stopped before its service, so that the service has no open
// request when it stops.
TEST_CASE("fleet: services and their sidecars are replaced under load") {
  ClusterOptions options;
  options.services_ = 2;
  Cluster cluster(options);
  OrderLoad load(cluster);
  std::set<std::string> keys;
  int executed = 0;
  for (const std::string service : {"service", "service-2"}) {
    Pause(1500);
    StopAndCheckExitCode(cluster, "sidecar-" + service);
    executed += CountOrders(cluster, service, &keys);
    StopAndCheckExitCode(cluster, service);
    cluster.Start(service);
    cluster.Start("sidecar-" + service);
    REQUIRE(cluster.WaitFor("sidecar-" + service, "/readyz"));
  }
  Pause(1000);
  load.Stop();
  executed += CountOrders(cluster, "service", &keys);
  executed += CountOrders(cluster, "service-2", &keys);
  MESSAGE(load.sent() << " orders");
  CHECK(load.sent() > 0);
  CHECK(load.failed() == 0);
  CHECK(executed == load.sent());
}

int CountFinishedOrders(const Cluster& cluster,
                        const std::string& service,
                        std::set<std::string>* keys) {
  int finished = 0;
  for (const auto& record : cluster.ReadJournalFile(service)) {
    if (record["outcome"] == "finished") {
      CHECK(keys->insert(record["key"].get<std::string>()).second);
      ++finished;
    }
  }
  return finished;
}

// A stopping service completes its open requests and then refuses connections.
TEST_CASE("fleet: services are stopped under load before their sidecars") {
  ClusterOptions options;
  options.services_ = 2;
  Cluster cluster(options);
  OrderLoad load(cluster);
  for (const std::string service : {"service", "service-2", "service"}) {
    Pause(1500);
    StopAndCheckExitCode(cluster, service);
    cluster.Start(service);
    REQUIRE(cluster.WaitFor("sidecar-" + service, "/readyz"));
  }
  Pause(1000);
  load.Stop();
  std::set<std::string> keys;
  const int executed = CountFinishedOrders(cluster, "service", &keys) +
                       CountFinishedOrders(cluster, "service-2", &keys);
  MESSAGE(load.sent() << " orders");
  CHECK(load.sent() > 0);
  CHECK(load.failed() == 0);
  CHECK(executed == load.sent());
}

TEST_CASE("fleet: a console is replaced while operators read its pages") {
  Cluster cluster;
  REQUIRE(cluster.WaitFor("console", "/readyz"));
  ChatLoad load(cluster, MakeUnlimitedLoad(kTokens));
  std::atomic<bool> stopped{false};
  std::atomic<int> pages{0};
  std::atomic<int> cut_off{0};
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
        // If the connection was refused, no request was sent.
        const bool begun = !reply.ok() && reply.error().code_ !=
                                              ErrorCode::kUpstreamUnreachable;
        cut_off += begun ? 1 : 0;
      }
    });
  }
  Pause(1000);
  StopAndCheckExitCode(cluster, "console");
  cluster.Start("console");
  CHECK(cluster.WaitFor("console", "/readyz"));
  Pause(500);
  stopped = true;
  for (std::thread& reader : readers) {
    reader.join();
  }
  MESSAGE(pages.load() << " pages, " << cut_off.load() << " cut");
  CHECK(pages > 0);
  CHECK(cut_off == 0);
  StopAndCheckAnswers(load);
}

Millis FindLastStart(const Cluster& cluster, int engine) {
  Millis last;
  for (const auto& record :
       cluster.FetchJournal("engine-" + std::to_string(engine))) {
    last = std::max(last, Millis(record["start"].get<int64_t>()));
  }
  return last;
}

ClusterOptions MakeLaggingListOptions() {
  ClusterOptions options;
  options.instance_list_ = true;
  options.list_lag_ = kListLag;
  return options;
}

TEST_CASE("fleet: a leaving sidecar is still listed as live for 10 s") {
  Cluster cluster(MakeLaggingListOptions());
  Pause(2000);
  ChatLoad load(cluster, MakeUnlimitedLoad(kTokens));
  Pause(1000);
  const Millis stopped = Clock::Wall().Now();
  cluster.SetListedState("sidecar-1", "leaving");
  StopAndCheckExitCode(cluster, "sidecar-1");
  Pause(kListLag.count() + 2000);
  const Millis last = FindLastStart(cluster, 1);
  CHECK(last > Millis(0));
  CHECK(last - stopped < Millis(2000));
  StopAndCheckAnswers(load);
}

TEST_CASE("fleet: a killed sidecar is still listed as live for 10 s") {
  Cluster cluster(MakeLaggingListOptions());
  Pause(2000);
  ChatLoad load(cluster, MakeUnlimitedLoad(kTokens));
  Pause(1000);
  REQUIRE(FindLastStart(cluster, 1) > Millis(0));
  cluster.SetListedState("sidecar-1", "gone");
  cluster.Kill("sidecar-1");
  Pause(kListLag.count() + 2000);
  StopAndCheckAnswers(load);
}

// Zone 1 has entry-1, engines 1 and 3; zone 2 has entry-2, engines 2 and 4.
ClusterOptions MakeTwoZoneOptions() {
  ClusterOptions options;
  options.engines_ = 4;
  options.entries_ = 2;
  options.zones_ = 2;
  options.sidecar_settings_ = {{"initial_slots", 4}, {"max_slots", 4}};
  return options;
}

const char* const kProcessesOfZoneTwo[] = {"entry-2", "sidecar-2", "engine-2",
                                           "sidecar-4", "engine-4"};

int CountExecutionsInZone(const Cluster& cluster, int zone) {
  int executions = 0;
  for (const int number : {zone, zone + 2}) {
    executions += static_cast<int>(
        cluster.FetchJournal("engine-" + std::to_string(number)).size());
  }
  return executions;
}

LoadOptions MakeLoadAt(int entry, int threads) {
  LoadOptions options = MakeUnlimitedLoad(kTokens);
  options.threads_ = threads;
  options.only_entry_ = entry;
  return options;
}

void WaitForZoneTwo(Cluster& cluster) {
  for (const char* name : kProcessesOfZoneTwo) {
    REQUIRE_MESSAGE(cluster.WaitFor(name, "/healthz"), name);
  }
}

TEST_CASE("fleet: an entry prefers its own zone while it has free slots") {
  Cluster cluster(MakeTwoZoneOptions());
  Pause(1000);
  ChatLoad light(cluster, MakeLoadAt(1, 2));
  Pause(1500);
  StopAndCheckAnswers(light);
  const int in_own_zone = CountExecutionsInZone(cluster, 1);
  const int in_other_zone = CountExecutionsInZone(cluster, 2);
  MESSAGE(in_own_zone << " executions in the entry's zone, " << in_other_zone
                      << " in the other zone");
  CHECK(in_own_zone > 2 * in_other_zone);
}

// Stops all processes of zone 2 under load and restores them 6 s later. Checks
// that no request is lost and that the zone gets requests again.
void CheckZoneLoss(const std::function<void(Cluster&, const char*)>& stop,
                   const std::function<void(Cluster&, const char*)>& restore) {
  Cluster cluster(MakeTwoZoneOptions());
  Pause(1000);
  const int in_other_zone = CountExecutionsInZone(cluster, 2);
  // More callers than slots in the entry's own zone, so that requests also go
  // to zone 2.
  ChatLoad load(cluster, MakeLoadAt(1, 24));
  Pause(1500);
  CHECK(CountExecutionsInZone(cluster, 2) > in_other_zone);
  for (const char* name : kProcessesOfZoneTwo) {
    stop(cluster, name);
  }
  Pause(6000);
  for (const char* name : kProcessesOfZoneTwo) {
    restore(cluster, name);
  }
  WaitForZoneTwo(cluster);
  const Millis back = Clock::Wall().Now();
  CHECK(WaitUntil(
      [&] {
        return std::max(FindLastStart(cluster, 2), FindLastStart(cluster, 4)) >
               back;
      },
      milliseconds(5000)));
  StopAndCheckAnswers(load);
}

TEST_CASE(
    "fleet: requests survive a killed zone, which is used again afterwards") {
  CheckZoneLoss(
      [](Cluster& cluster, const char* name) { cluster.Kill(name); },
      [](Cluster& cluster, const char* name) { cluster.Start(name); });
}

TEST_CASE(
    "fleet: requests survive a silent zone, which is used again afterwards") {
  CheckZoneLoss(
      [](Cluster& cluster, const char* name) { cluster.Signal(name, SIGSTOP); },
      [](Cluster& cluster, const char* name) {
        cluster.Signal(name, SIGCONT);
      });
}

}  // namespace
}  // namespace bergamotscale::testing
