// Whole sessions over real processes, compared with golden files: what callers
// saw, what `explain` tells of each request, and each process's own events.
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

constexpr milliseconds kPatience(15000);
constexpr char kEntry[] = "entry-1";

std::string ChatOutcome(const ChatAnswer& answer, const std::string& content) {
  return std::to_string(answer.status_) +
         (IsWhole(answer, content) ? " whole" : " broken");
}

void WaitForEvents(const Cluster& cluster,
                   const std::string& name,
                   EventType type,
                   int count) {
  const auto end = steady_clock::now() + kPatience;
  while (CountEvents(cluster, name, type) < count) {
    REQUIRE_MESSAGE(steady_clock::now() < end, timeline::EventName(type)
                                                   << " at " << name);
    std::this_thread::sleep_for(milliseconds(20));
  }
}

// Waits until the last the entry tells of its link to a sidecar is this.
void WaitForPeer(const Cluster& cluster, EventType type, const char* peer) {
  const auto end = steady_clock::now() + kPatience;
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

// Takes a sidecar out until it is brought in.
void TakeOut(Cluster& cluster, const char* sidecar) {
  WaitForPeer(cluster, EventType::kPeerUp, sidecar);
  cluster.Kill(sidecar);
  WaitForPeer(cluster, EventType::kPeerLost, sidecar);
}

void BringIn(Cluster& cluster, const char* sidecar) {
  cluster.Start(sidecar);
  REQUIRE(cluster.WaitFor(sidecar, "/readyz"));
  WaitForPeer(cluster, EventType::kPeerUp, sidecar);
  // Its first reports.
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
        ChatOutcome(Chat(cluster.Url(kEntry), content, stream), content));
  }
  record.Collect(kEntry);
  record.Collect("sidecar-1");
  record.CheckCauses();
  CheckGolden("served_chat", record.Text());
}

TEST_CASE("golden: an engine crashes and the answer is resumed") {
  Cluster cluster(SmallCluster(2));
  WaitForAllPeers(cluster);
  TakeOut(cluster, "sidecar-2");
  SessionRecord record(cluster);
  const std::string content = ChatContent(2, 1000);
  auto answer = std::async(std::launch::async, [&] {
    return Chat(cluster.Url(kEntry), content, /*stream=*/true);
  });
  WaitForEvents(cluster, kEntry, EventType::kFirstToken, 1);
  BringIn(cluster, "sidecar-2");
  cluster.Kill("engine-1");
  record.AddLine(ChatOutcome(answer.get(), content));
  WaitForEvents(cluster, "sidecar-1", EventType::kUpstreamCrashed, 1);
  for (const char* name : {kEntry, "sidecar-1", "sidecar-2"}) {
    record.Collect(name);
  }
  record.CheckCauses();
  CheckGolden("engine_crash", record.Text());
}

TEST_CASE("golden: an order, its resend, and its key with another body") {
  Cluster cluster(SmallCluster(1));
  WaitForAllPeers(cluster);
  SessionRecord record(cluster);
  Sent order;
  order.path_ = "/v1/orders";
  order.order_key_ = "order-1";
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
  TakeOut(cluster, "sidecar-1");
  SessionRecord record(cluster);
  Sent chat;
  chat.body_ = ChatBody(ChatContent(1, 5), /*stream=*/false);
  Sent bad_key = chat;
  bad_key.key_ = "no-such-key";
  Sent unknown_class = chat;
  unknown_class.class_ = "no-such-class";
  Sent no_order_key;
  no_order_key.path_ = "/v1/orders";
  no_order_key.body_ = "{}";
  for (const Sent& sent : {bad_key, unknown_class, no_order_key, chat}) {
    record.AddLine(Send(cluster, sent));
  }
  record.Collect(kEntry);
  CheckGolden("refused", record.Text());
}

TEST_CASE("golden: a sidecar leaves, what waits there goes elsewhere") {
  ClusterOptions options = SmallCluster(2);
  options.sidecar_settings_ = {{"initial_slots", 1}, {"max_slots", 1}};
  Cluster cluster(options);
  WaitForAllPeers(cluster);
  TakeOut(cluster, "sidecar-2");
  SessionRecord record(cluster);
  Sent running;
  running.class_ = "bulk";
  running.body_ = ChatBody(ChatContent(1, 3000), /*stream=*/true);
  auto first =
      std::async(std::launch::async, [&] { return Send(cluster, running); });
  WaitForEvents(cluster, kEntry, EventType::kFirstToken, 1);
  Sent waiting = running;
  waiting.body_ = ChatBody(ChatContent(2, 20), /*stream=*/true);
  auto second =
      std::async(std::launch::async, [&] { return Send(cluster, waiting); });
  WaitForEvents(cluster, "sidecar-1", EventType::kQueued, 2);
  BringIn(cluster, "sidecar-2");
  cluster.Signal("sidecar-1", SIGTERM);
  record.AddLine("the second: " + second.get());
  // It is gone once the first is through.
  record.Collect("sidecar-1");
  record.AddLine("the first: " + first.get());
  record.AddLine("exit " + std::to_string(cluster.WaitForExit(
                               "sidecar-1", Millis(kPatience.count()))));
  WaitForPeer(cluster, EventType::kPeerLost, "sidecar-1");
  record.Collect(kEntry);
  record.Collect("sidecar-2");
  record.CheckCauses();
  CheckGolden("leaving_sidecar", record.Text());
}

}  // namespace
}  // namespace bergamotscale::testing
