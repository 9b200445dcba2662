// Upstreams that go silent where no answer has begun or none may be repeated.
#include <csignal>

#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <thread>

#include <doctest/doctest.h>

#include "bergamotscale/clock.h"
#include "tests/process/calls.h"
#include "tests/process/chat_load.h"
#include "tests/process/cluster.h"
#include "tests/process/session_record.h"

namespace bergamotscale::testing {
namespace {

using std::chrono::milliseconds;

constexpr Millis kNoticed(3000);
// How long an entry waits for an upstream that takes the work.
constexpr Millis kUpstreamPatience(2000);

// No first token comes within the tests.
ClusterOptions SlowEngines() {
  ClusterOptions options;
  options.entries_ = 1;
  options.step_base_us_ = 6000000;
  return options;
}

// Sends a chat, makes the engine that runs it silent, and checks that another
// takes it in time. @return the number of the silent engine.
int CheckMovedFromSilent(const ClusterOptions& options,
                         Cluster& cluster,
                         const std::function<void(int)>& silence) {
  auto answer = std::async(std::launch::async, [&] {
    return Chat(cluster.Url("entry-1"), ChatContent(1, 1), /*stream=*/true);
  });
  const int silent = WaitForRunningEngine(cluster, options.engines_);
  REQUIRE(silent != 0);
  const Millis start = Clock::Wall().Now();
  silence(silent);
  Millis moved;
  REQUIRE(WaitUntil(
      [&] {
        for (int number = 1; number <= options.engines_; ++number) {
          if (number != silent) {
            for (const auto& record :
                 cluster.Journal("engine-" + std::to_string(number))) {
              moved = Millis(record["start"].get<int64_t>());
            }
          }
        }
        return moved > Millis(0);
      },
      milliseconds(10000)));
  MESSAGE("moved after " << (moved - start).count() << " ms");
  CHECK(moved - start < kNoticed);
  CHECK(IsWhole(answer.get(), ChatContent(1, 1)));
  return silent;
}

TEST_CASE("silence: an engine before its first token, the work is moved") {
  const ClusterOptions options = SlowEngines();
  Cluster cluster(options);
  CheckMovedFromSilent(options, cluster, [&](int engine) {
    cluster.Signal("engine-" + std::to_string(engine), SIGSTOP);
  });
}

TEST_CASE("silence: one connection before the first token, the work is moved") {
  const ClusterOptions options = SlowEngines();
  Cluster cluster(options);
  const int silent = CheckMovedFromSilent(options, cluster, [&](int engine) {
    cluster.EngineRelay(engine).DropAllPackets();
  });
  // The engine is told on another connection to stop.
  const auto left = cluster.Journal("engine-" + std::to_string(silent));
  REQUIRE(left.size() == 1);
  CHECK(left[0]["outcome"] == "cancelled");
}

struct Refusal {
  Millis silent_since_;  // wall clock
  Millis took_;          // from the silence on
  std::string outcome_;
};

// Sends work and makes its upstream silent while it runs.
Refusal SilenceAndRefusal(Cluster& cluster,
                          const Sent& sent,
                          const std::string& upstream,
                          const std::function<void()>& silence) {
  auto answer =
      std::async(std::launch::async, [&] { return Send(cluster, sent); });
  REQUIRE(WaitUntil([&] { return !cluster.Journal(upstream).empty(); },
                    milliseconds(5000)));
  Refusal refusal;
  refusal.silent_since_ = Clock::Wall().Now();
  silence();
  refusal.outcome_ = answer.get();
  refusal.took_ = Clock::Wall().Now() - refusal.silent_since_;
  return refusal;
}

// @return how long after the silence began the sidecar gave the work up.
Millis NoticedAfter(const Cluster& cluster,
                    const std::string& sidecar,
                    Millis silent_since) {
  for (const timeline::Event& event : ReadTimeline(cluster, sidecar)) {
    if (event.type_ == timeline::EventType::kRefused) {
      return Millis(event.time_.wall_ms_) - silent_since;
    }
  }
  FAIL(sidecar << " has not given it up");
  return Millis();
}

void CheckUnrepeatableIsRefused(const std::function<void(Cluster&)>& silence) {
  ClusterOptions options = SlowEngines();
  options.engines_ = 1;
  Cluster cluster(options);
  Sent sent;
  sent.class_ = "order";
  sent.body_ = ChatBody(ChatContent(1, 10), /*stream=*/false);
  const Refusal refusal =
      SilenceAndRefusal(cluster, sent, "engine-1", [&] { silence(cluster); });
  MESSAGE("refused after " << refusal.took_.count()
                           << " ms: " << refusal.outcome_);
  CHECK(refusal.took_ < kNoticed);
  CHECK(refusal.outcome_.find("may_have_run") != std::string::npos);
}

TEST_CASE("silence: an engine with work that may not be repeated") {
  CheckUnrepeatableIsRefused(
      [](Cluster& cluster) { cluster.Signal("engine-1", SIGSTOP); });
}

TEST_CASE("silence: one connection with work that may not be repeated") {
  CheckUnrepeatableIsRefused(
      [](Cluster& cluster) { cluster.EngineRelay(1).DropAllPackets(); });
}

TEST_CASE("silence: a plain service that executes an order") {
  Cluster cluster;
  SetFaults(cluster, "service", R"({"delay_ms":20000})");
  Sent order;
  order.path_ = "/v1/orders";
  order.body_ = "{}";
  order.order_key_ = "silent-order";
  const Refusal refusal = SilenceAndRefusal(
      cluster, order, "service", [&] { cluster.Signal("service", SIGSTOP); });
  MESSAGE("refused after " << refusal.took_.count()
                           << " ms: " << refusal.outcome_);
  // An order is offered to others: there is none.
  CHECK(refusal.took_ < kNoticed + kUpstreamPatience);
  CHECK(refusal.outcome_.find("may_have_run") != std::string::npos);
  CHECK(NoticedAfter(cluster, "sidecar-service", refusal.silent_since_) <
        kNoticed);
  cluster.Signal("service", SIGCONT);
  REQUIRE(cluster.WaitFor("sidecar-service", "/readyz"));
  CHECK(Send(cluster, order).find("may_have_run") != std::string::npos);
  CHECK(cluster.Journal("service").size() == 1);
}

}  // namespace
}  // namespace bergamotscale::testing
