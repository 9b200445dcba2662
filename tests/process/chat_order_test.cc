// Chats that are orders: executed once, and each resend gets the first answer.
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

TEST_CASE("chat order: a resend gets the first answer, streamed or not") {
  Cluster cluster;
  const std::string content = ChatContent(1, 20);
  // Whether it streams is a part of the body, which a key is bound to.
  for (const bool stream : {false, true}) {
    CAPTURE(stream);
    const std::string key = stream ? "chat-streamed" : "chat-whole";
    for (const char* entry : {"entry-1", "entry-2", "entry-1"}) {
      const ChatAnswer answer = Chat(cluster.Url(entry), content, stream, key);
      CHECK_MESSAGE(IsWhole(answer, content), answer.body_);
    }
    CHECK(ExecutionsOf(cluster, kEngines, key) == 1);
  }
}

TEST_CASE("chat order: a cut in mid-stream leaves one whole answer") {
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
  const ChatAnswer whole = answer.get();
  CHECK_MESSAGE(IsWhole(whole, content), whole.body_.substr(0, 400));
  CHECK(ExecutionsOf(cluster, kEngines, "chat-order-2") == 1);
}

}  // namespace
}  // namespace bergamotscale::testing
