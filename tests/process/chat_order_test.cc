// Chat requests that are orders: each is executed once, and every retry gets
// the answer of that execution.
#include <chrono>
#include <future>
#include <string>

#include <doctest/doctest.h>

#include "tests/process/calls.h"
#include "tests/process/chat_load.h"
#include "tests/process/cluster.h"

namespace bergamotscale::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kEngines = 3;

TEST_CASE("chat order: a retry gets the first answer, streamed or not") {
  Cluster cluster;
  const std::string content = ChatContent(1, 20);
  // A key is bound to its request body, which contains the stream flag, so the
  // two cases need different keys.
  for (const bool stream : {false, true}) {
    CAPTURE(stream);
    const std::string key = stream ? "chat-streamed" : "chat-whole";
    for (const char* entry : {"entry-1", "entry-2", "entry-1"}) {
      const ChatAnswer answer = Chat(cluster.Url(entry), content, stream, key);
      CHECK_MESSAGE(IsCorrect(answer, content), answer.body_);
    }
    CHECK(CountExecutions(cluster, kEngines, key) == 1);
  }
}

TEST_CASE("chat order: the answer is complete although its link is cut") {
  ClusterOptions options;
  options.step_base_us_ = 5000;
  Cluster cluster(options);
  const std::string content = ChatContent(2, 200);
  auto answer = std::async(std::launch::async, [&] {
    return Chat(cluster.Url("entry-1"), content, true, "chat-order-2");
  });
  std::this_thread::sleep_for(milliseconds(400));
  for (int number = 1; number <= kEngines; ++number) {
    cluster.LinkRelay(number).Cut();
  }
  const ChatAnswer complete = answer.get();
  CHECK_MESSAGE(IsCorrect(complete, content), complete.body_.substr(0, 400));
  CHECK(CountExecutions(cluster, kEngines, "chat-order-2") == 1);
}

}  // namespace
}  // namespace bergamotscale::testing
