// Upstreams that go silent before the first token, or while they execute a
// request that must not be retried.
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

// A silent upstream must be detected within this time.
constexpr Millis kDetectionLimit(3000);
// How long an entry waits for an upstream that accepts the request.
constexpr Millis kUpstreamTimeout(2000);

// A step takes 6 s, so no engine produces a token before the silence is
// detected.
ClusterOptions SlowEngines() {
  ClusterOptions options;
  options.entries_ = 1;
  options.step_base_us_ = 6000000;
  return options;
}

// Sends a chat request, makes the engine that executes it silent, and checks
// that another engine takes the request over in time.
// @return the number of the silent engine.
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
                 cluster.FetchJournal("engine-" + std::to_string(number))) {
              moved = Millis(record["start"].get<int64_t>());
            }
          }
        }
        return moved > Millis(0);
      },
      milliseconds(10000)));
  MESSAGE("another engine took over after " << (moved - start).count()
                                            << " ms");
  CHECK(moved - start < kDetectionLimit);
  CHECK(IsCorrect(answer.get(), ChatContent(1, 1)));
  return silent;
}

TEST_CASE(
    "silence: the request of an engine that stops before a token is moved") {
  const ClusterOptions options = SlowEngines();
  Cluster cluster(options);
  CheckMovedFromSilent(options, cluster, [&](int engine) {
    cluster.Signal("engine-" + std::to_string(engine), SIGSTOP);
  });
}

TEST_CASE(
    "silence: the request of a connection silent before a token is moved") {
  const ClusterOptions options = SlowEngines();
  Cluster cluster(options);
  const int silent = CheckMovedFromSilent(options, cluster, [&](int engine) {
    cluster.EngineRelay(engine).DropAllPackets();
  });
  // The sidecar cancels the request over another connection.
  const auto left = cluster.FetchJournal("engine-" + std::to_string(silent));
  REQUIRE(left.size() == 1);
  CHECK(left[0]["outcome"] == "cancelled");
}

struct Refusal {
  Millis silent_since_;  // wall clock
  Millis duration_;      // since silent_since_
  std::string outcome_;
};

// Sends a request and makes its upstream silent while it is executed.
Refusal SilenceWhileRunning(Cluster& cluster,
                            const TestRequest& request,
                            const std::string& upstream,
                            const std::function<void()>& silence) {
  auto answer =
      std::async(std::launch::async, [&] { return Send(cluster, request); });
  REQUIRE(WaitUntil([&] { return !cluster.FetchJournal(upstream).empty(); },
                    milliseconds(5000)));
  Refusal refusal;
  refusal.silent_since_ = Clock::Wall().Now();
  silence();
  refusal.outcome_ = answer.get();
  refusal.duration_ = Clock::Wall().Now() - refusal.silent_since_;
  return refusal;
}

// @return the time from the start of the silence until the sidecar refused the
// request.
Millis MeasureDetectionTime(const Cluster& cluster,
                            const std::string& sidecar,
                            Millis silent_since) {
  for (const timeline::Event& event : ReadTimeline(cluster, sidecar)) {
    if (event.type_ == timeline::EventType::kRefused) {
      return Millis(event.time_.wall_ms_) - silent_since;
    }
  }
  FAIL(sidecar << " has not refused the request");
  return Millis();
}

void CheckUnrepeatableIsRefused(const std::function<void(Cluster&)>& silence) {
  ClusterOptions options = SlowEngines();
  options.engines_ = 1;
  Cluster cluster(options);
  TestRequest request;
  request.class_ = "order";
  request.body_ = ChatBody(ChatContent(1, 10), /*stream=*/false);
  const Refusal refusal = SilenceWhileRunning(cluster, request, "engine-1",
                                              [&] { silence(cluster); });
  MESSAGE("refused after " << refusal.duration_.count()
                           << " ms: " << refusal.outcome_);
  CHECK(refusal.duration_ < kDetectionLimit);
  CHECK(refusal.outcome_.find("may_have_run") != std::string::npos);
}

TEST_CASE("silence: a non-idempotent request of a silent engine is refused") {
  CheckUnrepeatableIsRefused(
      [](Cluster& cluster) { cluster.Signal("engine-1", SIGSTOP); });
}

TEST_CASE(
    "silence: a non-idempotent request of a silent connection is refused") {
  CheckUnrepeatableIsRefused(
      [](Cluster& cluster) { cluster.EngineRelay(1).DropAllPackets(); });
}

TEST_CASE("silence: an order of a silent plain service is refused") {
  Cluster cluster;
  PostFaults(cluster, "service", R"({"delay_ms":20000})");
  TestRequest order;
  order.path_ = "/v1/orders";
  order.body_ = "{}";
  order.idempotency_key_ = "silent-order";
  const Refusal refusal = SilenceWhileRunning(
      cluster, order, "service", [&] { cluster.Signal("service", SIGSTOP); });
  MESSAGE("refused after " << refusal.duration_.count()
                           << " ms: " << refusal.outcome_);
  // The entry also looks for another upstream, of which there is none.
  CHECK(refusal.duration_ < kDetectionLimit + kUpstreamTimeout);
  CHECK(refusal.outcome_.find("may_have_run") != std::string::npos);
  CHECK(MeasureDetectionTime(cluster, "sidecar-service",
                             refusal.silent_since_) < kDetectionLimit);
  cluster.Signal("service", SIGCONT);
  REQUIRE(cluster.WaitFor("sidecar-service", "/readyz"));
  CHECK(Send(cluster, order).find("may_have_run") != std::string::npos);
  CHECK(cluster.FetchJournal("service").size() == 1);
}

}  // namespace
}  // namespace bergamotscale::testing
