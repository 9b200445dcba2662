// Sessions of real processes, compared with golden files: the responses that
// callers received, the output of `explain` for each request, and the events of
// each process.
#include <csignal>

#include <chrono>
#include <future>
#include <string>
#include <thread>

#include <doctest/doctest.h>

#include "tests/process/calls.h"
#include "tests/process/chat_load.h"
#include "tests/process/cluster.h"
#include "tests/process/session_record.h"

namespace bergamotscale::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using timeline::EventType;

constexpr milliseconds kTimeout(15000);
constexpr char kEntry[] = "entry-1";

std::string DescribeAnswer(const ChatAnswer& answer,
                           const std::string& content) {
  return std::to_string(answer.status_) +
         (IsCorrect(answer, content) ? " whole" : " broken");
}

void WaitForEvents(const Cluster& cluster,
                   const std::string& name,
                   EventType type,
                   int count) {
  const auto end = steady_clock::now() + kTimeout;
  while (CountEvents(cluster, name, type) < count) {
    REQUIRE_MESSAGE(steady_clock::now() < end, timeline::EventName(type)
                                                   << " at " << name);
    std::this_thread::sleep_for(milliseconds(20));
  }
}

// Waits until the entry's newest event about its link to this sidecar has the
// given type.
void WaitForPeer(const Cluster& cluster, EventType type, const char* peer) {
  const auto end = steady_clock::now() + kTimeout;
  for (;;) {
    EventType last = EventType::kArrived;
    for (const timeline::Event& event : ReadTimeline(cluster, kEntry)) {
      if (event.peer_.value() == peer && event.request_id_.empty()) {
        last = event.type_;
      }
    }
    if (last == type) {
      return;
    }
    REQUIRE_MESSAGE(steady_clock::now() < end, peer);
    std::this_thread::sleep_for(milliseconds(20));
  }
}

ClusterOptions SmallCluster(int engines) {
  ClusterOptions options;
  options.engines_ = engines;
  options.entries_ = 1;
  options.direct_engines_ = true;
  options.step_base_us_ = 5000;
  return options;
}

// Kills a sidecar and waits until the entry has noticed; RestartSidecar()
// starts it again.
void KillSidecar(Cluster& cluster, const char* sidecar) {
  WaitForPeer(cluster, EventType::kPeerUp, sidecar);
  cluster.Kill(sidecar);
  WaitForPeer(cluster, EventType::kPeerLost, sidecar);
}

void RestartSidecar(Cluster& cluster, const char* sidecar) {
  cluster.Start(sidecar);
  REQUIRE(cluster.WaitFor(sidecar, "/readyz"));
  WaitForPeer(cluster, EventType::kPeerUp, sidecar);
  // Wait for the sidecar's first status messages.
  std::this_thread::sleep_for(milliseconds(1000));
}

void WaitForAllPeers(const Cluster& cluster) {
  WaitForPeer(cluster, EventType::kPeerUp, "sidecar-1");
  WaitForPeer(cluster, EventType::kPeerUp, "sidecar-service");
  std::this_thread::sleep_for(milliseconds(500));
}

TEST_CASE("golden: a served chat, whole and streamed") {
  Cluster cluster(SmallCluster(1));
  WaitForAllPeers(cluster);
  SessionRecord record(cluster);
  const std::string content = ChatContent(1, 20);
  for (const bool stream : {false, true}) {
    record.AddLine(
        DescribeAnswer(Chat(cluster.Url(kEntry), content, stream), content));
  }
  record.Collect(kEntry);
  record.Collect("sidecar-1");
  record.CheckCauses();
  CheckGolden("served_chat", record.Text());
}

TEST_CASE("golden: an engine crashes and the answer is resumed") {
  Cluster cluster(SmallCluster(2));
  WaitForAllPeers(cluster);
  KillSidecar(cluster, "sidecar-2");
  SessionRecord record(cluster);
  const std::string content = ChatContent(2, 1000);
  auto answer = std::async(std::launch::async, [&] {
    return Chat(cluster.Url(kEntry), content, /*stream=*/true);
  });
  WaitForEvents(cluster, kEntry, EventType::kFirstToken, 1);
  RestartSidecar(cluster, "sidecar-2");
  cluster.Kill("engine-1");
  record.AddLine(DescribeAnswer(answer.get(), content));
  WaitForEvents(cluster, "sidecar-1", EventType::kUpstreamCrashed, 1);
  for (const char* name : {kEntry, "sidecar-1", "sidecar-2"}) {
    record.Collect(name);
  }
  record.CheckCauses();
  CheckGolden("engine_crash", record.Text());
}

TEST_CASE("golden: an order, its retry, and its key with another body") {
  Cluster cluster(SmallCluster(1));
  WaitForAllPeers(cluster);
  SessionRecord record(cluster);
  TestRequest order;
  order.path_ = "/v1/orders";
  order.idempotency_key_ = "order-1";
  for (const char* body : {R"({"a":1})", R"({"a":1})", R"({"a":2})"}) {
    order.body_ = body;
    record.AddLine(Send(cluster, order));
  }
  record.Collect(kEntry);
  record.Collect("sidecar-service");
  record.CheckCauses();
  CheckGolden("order_resend", record.Text());
}

TEST_CASE("golden: refused requests") {
  Cluster cluster(SmallCluster(1));
  WaitForAllPeers(cluster);
  KillSidecar(cluster, "sidecar-1");
  SessionRecord record(cluster);
  TestRequest chat;
  chat.body_ = ChatBody(ChatContent(1, 5), /*stream=*/false);
  TestRequest bad_key = chat;
  bad_key.workspace_key_ = "no-such-key";
  TestRequest unknown_class = chat;
  unknown_class.class_ = "no-such-class";
  TestRequest no_order_key;
  no_order_key.path_ = "/v1/orders";
  no_order_key.body_ = "{}";
  for (const TestRequest& request :
       {bad_key, unknown_class, no_order_key, chat}) {
    record.AddLine(Send(cluster, request));
  }
  record.Collect(kEntry);
  CheckGolden("refused", record.Text());
}

TEST_CASE("golden: a sidecar leaves and its queued request moves to another") {
  ClusterOptions options = SmallCluster(2);
  options.sidecar_settings_ = {{"initial_slots", 1}, {"max_slots", 1}};
  Cluster cluster(options);
  WaitForAllPeers(cluster);
  KillSidecar(cluster, "sidecar-2");
  SessionRecord record(cluster);
  TestRequest running;
  running.class_ = "bulk";
  running.body_ = ChatBody(ChatContent(1, 3000), /*stream=*/true);
  auto first =
      std::async(std::launch::async, [&] { return Send(cluster, running); });
  WaitForEvents(cluster, kEntry, EventType::kFirstToken, 1);
  TestRequest waiting = running;
  waiting.body_ = ChatBody(ChatContent(2, 20), /*stream=*/true);
  auto second =
      std::async(std::launch::async, [&] { return Send(cluster, waiting); });
  WaitForEvents(cluster, "sidecar-1", EventType::kQueued, 2);
  RestartSidecar(cluster, "sidecar-2");
  cluster.Signal("sidecar-1", SIGTERM);
  record.AddLine("the second: " + second.get());
  // sidecar-1 exits once the first request has ended, so its timeline is read
  // before.
  record.Collect("sidecar-1");
  record.AddLine("the first: " + first.get());
  record.AddLine("exit " + std::to_string(cluster.WaitForExit(
                               "sidecar-1", Millis(kTimeout.count()))));
  WaitForPeer(cluster, EventType::kPeerLost, "sidecar-1");
  record.Collect(kEntry);
  record.Collect("sidecar-2");
  record.CheckCauses();
  CheckGolden("leaving_sidecar", record.Text());
}

}  // namespace
}  // namespace bergamotscale::testing
