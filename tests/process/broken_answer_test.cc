// What callers receive when a process crashes, and how their retries end. Also
// a caller that disconnects while its request is queued.
#include <chrono>
#include <future>
#include <string>
#include <thread>

#include <doctest/doctest.h>

#include "src/timeline/timeline.h"
#include "tests/process/calls.h"
#include "tests/process/chat_load.h"
#include "tests/process/cluster.h"
#include "tests/process/session_record.h"
#include "tests/support/raw_caller.h"

namespace bergamotscale::testing {
namespace {

using std::chrono::milliseconds;
using timeline::EventType;

// End of a response with chunked encoding.
constexpr char kLastChunk[] = "\r\n0\r\n\r\n";

ClusterOptions SlowSteps() {
  ClusterOptions options;
  options.step_base_us_ = 5000;
  return options;
}

TEST_CASE("broken answer: an entry's crash cuts a stream, a retry completes") {
  for (const std::string key : {"", "crashed-entry"}) {
    CAPTURE(key);
    const ClusterOptions options = SlowSteps();
    Cluster cluster(options);
    const std::string content = ChatContent(1, 400);
    RawCaller caller(cluster.Port("entry-1"));
    caller.Send(RawChat(content, key));
    caller.ReadUntil("data: ");
    cluster.Kill("entry-1");
    const std::string broken = caller.ReadAll();
    CHECK(broken.find("[DONE]") == std::string::npos);
    CHECK(broken.find(kLastChunk) == std::string::npos);
    const ChatAnswer retried =
        Chat(cluster.Url("entry-2"), content, /*stream=*/true, key);
    CHECK_MESSAGE(IsCorrect(retried, content), retried.body_.substr(0, 300));
    if (!key.empty()) {
      CHECK(CountExecutions(cluster, options.engines_, key) == 1);
    }
  }
}

TEST_CASE("broken answer: an entry's crash leaves no complete response body") {
  Cluster cluster(SlowSteps());
  const std::string content = ChatContent(1, 400);
  auto answer = std::async(std::launch::async, [&] {
    return Chat(cluster.Url("entry-1"), content, /*stream=*/false);
  });
  REQUIRE(WaitForRunningEngine(cluster, 3) != 0);
  cluster.Kill("entry-1");
  CHECK_FALSE(answer.get().complete_);
  CHECK(IsCorrect(Chat(cluster.Url("entry-2"), content, false), content));
}

TEST_CASE("broken answer: a crashed non-idempotent request may have run") {
  Cluster cluster(SlowSteps());
  TestRequest request;
  request.class_ = "order";
  request.body_ = ChatBody(ChatContent(1, 1000), /*stream=*/false);
  auto outcome =
      std::async(std::launch::async, [&] { return Send(cluster, request); });
  const int engine = WaitForRunningEngine(cluster, 3);
  REQUIRE(engine != 0);
  cluster.Kill("engine-" + std::to_string(engine));
  const std::string refused = outcome.get();
  CHECK_MESSAGE(refused.find("may_have_run") != std::string::npos, refused);
  for (int number = 1; number <= 3; ++number) {
    if (number != engine) {
      CHECK(cluster.FetchJournal("engine-" + std::to_string(number)).empty());
    }
  }
}

TEST_CASE("broken answer: an order on a crashed service may have run") {
  Cluster cluster;
  PostFaults(cluster, "service", R"({"exit_before_answer":1})");
  TestRequest order;
  order.path_ = "/v1/orders";
  order.body_ = "{}";
  order.idempotency_key_ = "crashed-service";
  const std::string refused = Send(cluster, order);
  CHECK_MESSAGE(refused.find("may_have_run") != std::string::npos, refused);
  cluster.WaitForExit("service", Millis(5000));
  cluster.Start("service");
  REQUIRE(cluster.WaitFor("sidecar-service", "/readyz"));
  const std::string again = Send(cluster, order);
  CHECK_MESSAGE(again.find("may_have_run") != std::string::npos, again);
  CHECK(cluster.FetchJournal("service").empty());
}

TEST_CASE("broken answer: a leaving caller's queued request ends in 1 s") {
  ClusterOptions options = SlowSteps();
  options.engines_ = 1;
  options.entries_ = 1;
  options.sidecar_settings_ = {{"initial_slots", 1}, {"max_slots", 1}};
  Cluster cluster(options);
  RawCaller running(cluster.Port("entry-1"));
  running.Send(RawChat(ChatContent(1, 1200), "", "bulk"));
  running.ReadUntil("data: ");
  RawCaller waiting(cluster.Port("entry-1"));
  waiting.Send(RawChat(ChatContent(2, 10), "", "bulk"));
  REQUIRE(WaitUntil(
      [&] {
        return CountEvents(cluster, "sidecar-1", EventType::kQueued) == 2;
      },
      milliseconds(3000)));
  waiting.Close();
  CHECK(WaitUntil(
      [&] {
        return CountEvents(cluster, "sidecar-1", EventType::kWithdrawn) == 1;
      },
      milliseconds(1000)));
  SessionRecord record(cluster);
  record.Collect("entry-1");
  record.Collect("sidecar-1");
  CAPTURE(record.Text());
  CHECK(running.ReadUntil("[DONE]").find("[DONE]") != std::string::npos);
  std::this_thread::sleep_for(milliseconds(500));
  CHECK(cluster.FetchJournal("engine-1").size() == 1);
}

}  // namespace
}  // namespace bergamotscale::testing
