// The local system under faults: every request gets one correct and complete
// answer.
#include <csignal>

#include <chrono>
#include <future>
#include <random>
#include <string>
#include <thread>

#include <doctest/doctest.h>

#include "tests/process/calls.h"
#include "tests/process/chat_load.h"
#include "tests/process/cluster.h"
#include "tests/support/raw_caller.h"

namespace bergamotscale::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr uint32_t kSeed = 20261204;

void InjectFault(Cluster& cluster, int kind, int number) {
  const std::string suffix = std::to_string(number);
  switch (kind) {
    case 0:
      cluster.Kill("engine-" + suffix);
      cluster.Start("engine-" + suffix);
      break;
    case 1:
      cluster.Kill("sidecar-" + suffix);
      cluster.Start("sidecar-" + suffix);
      break;
    case 2:
      cluster.LinkRelay(number).Cut();
      break;
    case 3:
      cluster.LinkRelay(number).Freeze();
      break;
    default:
      cluster.EngineRelay(number).Cut();
      break;
  }
}

TEST_CASE("process: 10,000 answers are complete and correct under faults") {
  constexpr int kKinds = 5;
  constexpr int kRequests = 10000;
  MESSAGE("seed " << kSeed);
  std::mt19937_64 random(kSeed);
  Cluster cluster;
  LoadOptions options;
  options.requests_ = kRequests;
  options.threads_ = 48;
  options.max_retries_ = 20;
  ChatLoad load(cluster, options);
  int faults = 0;
  while (load.running()) {
    std::this_thread::sleep_for(milliseconds(700));
    InjectFault(cluster, faults % kKinds, 1 + static_cast<int>(random() % 3));
    ++faults;
  }
  load.Wait();
  MESSAGE(faults << " faults, " << load.retries() << " retries");
  CHECK(faults >= kKinds);
  CHECK(load.correct() == kRequests);
  CHECK(load.wrong() == 0);
  CHECK(load.failed() == 0);
}

// Requests a long streaming answer, injects a fault while an engine produces
// it, and checks that the answer is resumed on another engine and is correct.
// @param timeout limit for the start on another engine.
void CheckResumed(const std::function<void(Cluster&, int)>& fault,
                  milliseconds timeout) {
  ClusterOptions options;
  options.step_base_us_ = 5000;
  Cluster cluster(options);
  const std::string content = ChatContent(1, 400);
  auto answer = std::async(std::launch::async, [&] {
    return Chat(cluster.Url("entry-1"), content, /*stream=*/true);
  });
  const int engine = WaitForRunningEngine(cluster, options.engines_);
  REQUIRE(engine != 0);
  std::this_thread::sleep_for(milliseconds(300));
  const auto start = steady_clock::now();
  fault(cluster, engine);
  // Another engine takes the request over.
  CHECK(WaitUntil(
      [&] {
        for (int number = 1; number <= options.engines_; ++number) {
          const auto records =
              cluster.FetchJournal("engine-" + std::to_string(number));
          if (number != engine && !records.empty()) {
            return true;
          }
        }
        return false;
      },
      timeout));
  MESSAGE(
      "resumed on another engine after "
      << std::chrono::duration_cast<milliseconds>(steady_clock::now() - start)
             .count()
      << " ms");
  const ChatAnswer got = answer.get();
  CHECK_MESSAGE(
      IsCorrect(got, content),
      got.status_ << ": " << got.body_.substr(0, 300) << " ... "
                  << got.body_.substr(got.body_.size() -
                                      std::min<size_t>(got.body_.size(), 300)));
}

TEST_CASE("process: an engine's crash in mid-stream is resumed elsewhere") {
  CheckResumed(
      [](Cluster& cluster, int engine) {
        cluster.Kill("engine-" + std::to_string(engine));
      },
      milliseconds(3000));
}

TEST_CASE("process: a sidecar's crash in mid-stream is resumed elsewhere") {
  CheckResumed(
      [](Cluster& cluster, int engine) {
        cluster.Kill("sidecar-" + std::to_string(engine));
      },
      milliseconds(3000));
}

TEST_CASE("process: a silent link in mid-stream is noticed within 3 s") {
  CheckResumed(
      [](Cluster& cluster, int engine) { cluster.LinkRelay(engine).Freeze(); },
      milliseconds(3000));
}

TEST_CASE("process: a silent engine in mid-stream is noticed within 3 s") {
  CheckResumed([](Cluster& cluster,
                  int engine) { cluster.EngineRelay(engine).Freeze(); },
               milliseconds(3000));
}

TEST_CASE("process: a caller that leaves a stream stops the engine in 1 s") {
  ClusterOptions options;
  options.step_base_us_ = 5000;
  Cluster cluster(options);
  RawCaller caller(cluster.Port("entry-1"));
  caller.Send(RawChat(ChatContent(1, 4000)));
  caller.ReadUntil("data: ");
  const int engine = WaitForRunningEngine(cluster, options.engines_);
  REQUIRE(engine != 0);
  caller.Close();
  const auto start = steady_clock::now();
  CHECK(WaitUntil(
      [&] { return FindRunningEngine(cluster, options.engines_) == 0; },
      milliseconds(1000)));
  MESSAGE(
      "the engine stopped after "
      << std::chrono::duration_cast<milliseconds>(steady_clock::now() - start)
             .count()
      << " ms");
  const auto records = cluster.FetchJournal("engine-" + std::to_string(engine));
  REQUIRE(records.size() == 1);
  CHECK(records[0]["outcome"] == "cancelled");
}

TEST_CASE(
    "process: a caller that leaves before the first token stops it in 1 s") {
  ClusterOptions options;
  // A step takes 3 s, so the caller leaves before the first token.
  options.step_base_us_ = 3000000;
  Cluster cluster(options);
  RawCaller caller(cluster.Port("entry-1"));
  caller.Send(RawChat(ChatContent(1, 10)));
  const int engine = WaitForRunningEngine(cluster, options.engines_);
  REQUIRE(engine != 0);
  caller.Close();
  CHECK(WaitUntil(
      [&] { return FindRunningEngine(cluster, options.engines_) == 0; },
      milliseconds(1000)));
}

}  // namespace
}  // namespace bergamotscale::testing
