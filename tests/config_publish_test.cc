// ConfigPublisher and ConfigFollower with the log stand-in and injected faults.
#include <algorithm>
#include <atomic>
#include <future>
#include <iostream>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "src/config/config_publisher.h"
#include "src/config/config_record.h"
#include "tests/config_history.h"
#include "tests/support_log.h"

namespace bergamotscale::config {
namespace {

using standins::LogFaults;
using standins::LogServer;
using standins::LogStoreOptions;
using testing::ConfigHistory;
using testing::ConfigHistoryChecker;
using testing::OpenLog;
using testing::ReadAndWait;
using testing::WaitUntil;

constexpr int kSeeds = 20;

ConfigDocument DocumentNamed(const std::string& name) {
  ConfigDocument document;
  document.groups_ = {{GroupId("engines"), GroupKind::kEngine, false}};
  document.models_ = {{ModelId(name), GroupId("engines")}};
  return document;
}

PublishRequest RequestFor(const std::string& name, Revision base) {
  return {DocumentNamed(name), base, "operator", "comment"};
}

ConfigFollowerOptions FastFollower(uint64_t seed) {
  ConfigFollowerOptions options;
  options.read_options_.poll_wait_ = Millis(100);
  options.read_options_.retry_delay_ = Millis(10);
  options.seed_ = seed;
  return options;
}

PublisherOptions FastPublisher() {
  PublisherOptions options;
  options.deadline_ = Millis(3000);
  options.settle_time_ = Millis(100);
  options.retry_delay_ = Millis(20);
  options.poll_interval_ = Millis(2);
  return options;
}

// Collects a history from several threads.
class Recorder {
 public:
  ConfigFollower::ChangeHook HookFor(const std::string& follower) {
    history_.followers_.insert(follower);
    return [this, follower](const ConfigSnapshot& snapshot) {
      const std::lock_guard<std::mutex> lock(mutex_);
      history_.in_force_.push_back(
          {follower, snapshot.revision_, snapshot.text_, clock_.Now()});
    };
  }

  void RecordResult(const PublishRequest& request,
                    const PublishResult& result) {
    const std::lock_guard<std::mutex> lock(mutex_);
    history_.results_.push_back(
        {result.id_, result.state_, request.base_, result.revision_,
         SerializeConfigDocument(request.document_), clock_.Now()});
  }

  // Precondition: no other thread uses the recorder.
  ConfigHistory Finish(log::LogClient& client) {
    const Result<log::ReadPage> page =
        ReadAndWait(client, log::kConfigStream, log::kFromOldest);
    REQUIRE(page.ok());
    for (const log::Record& record : page.value().records_) {
      const Result<ConfigRecord> decoded = DecodeRecord(record.payload_);
      REQUIRE(decoded.ok());
      if (const auto* publication =
              std::get_if<PublicationRecord>(&decoded.value())) {
        history_.appended_.insert(publication->id_);
      }
    }
    return history_;
  }

 private:
  std::mutex mutex_;
  const Clock clock_ = Clock::Steady();
  ConfigHistory history_;
};

// One process, with its own client, follower and publisher.
struct Node {
  Node(const std::string& url, uint64_t seed, ConfigFollower::ChangeHook hook)
      : client_(url, Millis(500)),
        follower_(client_, FastFollower(seed), std::move(hook)),
        publisher_(client_, follower_, FastPublisher()) {
    follower_.Start();
  }
  log::LogClient client_;
  ConfigFollower follower_;
  ConfigPublisher publisher_;
};

using Nodes = std::vector<std::unique_ptr<Node>>;

Nodes StartNodes(int count, LogServer& server, Recorder& recorder) {
  Nodes nodes;
  for (int index = 0; index < count; ++index) {
    nodes.push_back(std::make_unique<Node>(
        server.url(), index, recorder.HookFor("f" + std::to_string(index))));
  }
  return nodes;
}

bool AllAt(const Nodes& nodes, Revision revision) {
  return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
    return node->follower_.revision() == revision;
  });
}

Revision NewestOf(const Nodes& nodes) {
  Revision newest;
  for (const auto& node : nodes) {
    newest = std::max(newest, node->follower_.revision());
  }
  return newest;
}

// Publishes one document in each round, based on the node's revision.
void PublishRounds(Node& node,
                   const std::string& author,
                   int rounds,
                   Recorder& recorder) {
  for (int round = 0; round < rounds; ++round) {
    const PublishRequest request = RequestFor(
        author + "-" + std::to_string(round), node.follower_.revision());
    recorder.RecordResult(request, node.publisher_.PublishAndWait(request));
  }
}

LogFaults RandomFaults(std::mt19937_64& random) {
  LogFaults faults;
  switch (random() % 4) {
    case 0:
      faults.down_ = true;
      break;
    case 1:
      faults.silent_ = true;
      break;
    case 2:
      faults.lose_answers_ = 2;
      break;
    default:
      faults.slow_ = Millis(20);
  }
  return faults;
}

void CheckHistory(const ConfigHistory& history, int seed) {
  CAPTURE(seed);
  const std::vector<std::string> violations =
      ConfigHistoryChecker(history).Check();
  CHECK_MESSAGE(violations.empty(), violations.front());
}

TEST_CASE("publish: two operators at once, exactly one is accepted") {
  for (int seed = 0; seed < kSeeds; ++seed) {
    const auto server = OpenLog();
    Recorder recorder;
    Nodes nodes = StartNodes(2, *server, recorder);
    const PublishRequest first = RequestFor("first", Revision(0));
    const PublishRequest second = RequestFor("second", Revision(0));
    auto other = std::async(std::launch::async, [&] {
      return nodes[1]->publisher_.PublishAndWait(second);
    });
    const PublishResult one = nodes[0]->publisher_.PublishAndWait(first);
    const PublishResult two = other.get();
    recorder.RecordResult(first, one);
    recorder.RecordResult(second, two);
    CAPTURE(seed);
    CHECK((one.state_ == PublishState::kAccepted) !=
          (two.state_ == PublishState::kAccepted));
    const PublishResult& loser =
        one.state_ == PublishState::kAccepted ? two : one;
    CHECK(loser.state_ == PublishState::kConflict);
    REQUIRE(loser.in_force_ != nullptr);
    CHECK(loser.in_force_->revision_ == Revision(1));
    CHECK(WaitUntil([&] { return AllAt(nodes, Revision(1)); }));
    CheckHistory(recorder.Finish(nodes[0]->client_), seed);
  }
}

TEST_CASE("publish: histories of concurrent operators under faults are valid") {
  for (int seed = 0; seed < kSeeds; ++seed) {
    const auto server = OpenLog();
    Recorder recorder;
    Nodes nodes = StartNodes(3, *server, recorder);
    std::atomic<bool> done{false};
    std::thread faults([&] {
      std::mt19937_64 random(seed);
      while (!done) {
        server->SetFaults(RandomFaults(random));
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
        server->SetFaults({});
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
      }
    });
    auto other = std::async(std::launch::async, [&] {
      PublishRounds(*nodes[1], "b", 3, recorder);
    });
    PublishRounds(*nodes[0], "a", 3, recorder);
    other.get();
    done = true;
    faults.join();
    const Revision newest = NewestOf(nodes);
    CHECK(WaitUntil([&] { return AllAt(nodes, newest); }));
    const ConfigHistory history = recorder.Finish(nodes[0]->client_);
    CHECK(history.results_.size() == 6);
    CheckHistory(history, seed);
  }
}

// Shows why the publisher reads the log and retries with the same id: a lost
// response of an append says nothing about its outcome.
TEST_CASE("publish: a lost response of an append hides its outcome") {
  const auto server = OpenLog();
  Recorder recorder;
  Nodes nodes = StartNodes(1, *server, recorder);
  Node& node = *nodes[0];
  LogFaults faults;
  faults.lose_answers_ = 1;
  server->SetFaults(faults);
  PublicationRecord record;
  record.id_ = PublicationId("first");
  record.document_ = nlohmann::json::object();
  CHECK(!testing::AppendAndWait(node.client_, log::kConfigStream,
                                EncodeRecord(record))
             .ok());
  REQUIRE(WaitUntil([&] { return AllAt(nodes, Revision(1)); }));
  // A retry under a new id conflicts with the operator's own first append.
  record.id_ = PublicationId("second");
  REQUIRE(testing::AppendAndWait(node.client_, log::kConfigStream,
                                 EncodeRecord(record))
              .ok());
  REQUIRE(WaitUntil(
      [&] { return node.follower_.FindOutcome(record.id_).has_value(); }));
  CHECK(!node.follower_.FindOutcome(record.id_)->accepted_);
}

TEST_CASE("publish: the outcome after a lost response is read from the log") {
  const auto server = OpenLog();
  Recorder recorder;
  Nodes nodes = StartNodes(1, *server, recorder);
  LogFaults faults;
  faults.lose_answers_ = -1;
  server->SetFaults(faults);
  const PublishResult result =
      nodes[0]->publisher_.PublishAndWait(RequestFor("lost", Revision(0)));
  CHECK(result.state_ == PublishState::kAccepted);
  CHECK(result.revision_ == Revision(1));
}

TEST_CASE(
    "publish: not published if the log is down, pending if it is silent") {
  const auto server = OpenLog();
  Recorder recorder;
  Nodes nodes = StartNodes(1, *server, recorder);
  Node& node = *nodes[0];
  REQUIRE(WaitUntil([&] { return node.follower_.caught_up(); }));
  PublisherOptions options = FastPublisher();
  options.deadline_ = Millis(200);
  ConfigPublisher publisher(node.client_, node.follower_, options);
  LogFaults faults;
  faults.down_ = true;
  server->SetFaults(faults);
  CHECK(publisher.PublishAndWait(RequestFor("down", Revision(0))).state_ ==
        PublishState::kNotPublished);
  faults = LogFaults();
  faults.silent_ = true;
  server->SetFaults(faults);
  const PublishResult pending =
      publisher.PublishAndWait(RequestFor("silent", Revision(0)));
  CHECK(pending.state_ == PublishState::kPending);
  CHECK(!pending.id_.empty());
  server->SetFaults({});
  CHECK(publisher.PublishAndWait(RequestFor("after", Revision(0))).state_ ==
        PublishState::kAccepted);
}

TEST_CASE("publish: the document outlives retention") {
  LogStoreOptions store;
  store.retained_records_ = 3;
  const auto server = OpenLog(store);
  Recorder recorder;
  Nodes nodes = StartNodes(2, *server, recorder);
  for (int round = 0; round < 6; ++round) {
    const PublishResult result = nodes[0]->publisher_.PublishAndWait(
        RequestFor("m" + std::to_string(round), Revision(round)));
    REQUIRE(result.state_ == PublishState::kAccepted);
  }
  // A new process starts from the records that are left.
  nodes.push_back(
      std::make_unique<Node>(server->url(), 9, recorder.HookFor("fresh")));
  CHECK(WaitUntil([&] { return AllAt(nodes, Revision(6)); }));
  CHECK(nodes[2]
            ->publisher_.PublishAndWait(RequestFor("n", Revision(6)))
            .state_ == PublishState::kAccepted);
  CHECK(WaitUntil([&] { return AllAt(nodes, Revision(7)); }));
}

TEST_CASE("publish: followers recover if records expire in an outage") {
  LogStoreOptions store;
  store.retention_ = Millis(150);
  const auto server = OpenLog(store);
  Recorder recorder;
  Nodes nodes = StartNodes(2, *server, recorder);
  REQUIRE(nodes[0]
              ->publisher_.PublishAndWait(RequestFor("a", Revision(0)))
              .state_ == PublishState::kAccepted);
  REQUIRE(WaitUntil([&] { return AllAt(nodes, Revision(1)); }));
  LogFaults faults;
  faults.down_ = true;
  server->SetFaults(faults);
  // A new process gets the revision from a peer during the outage.
  Node fresh(server->url(), 7, recorder.HookFor("fresh"));
  const auto state = nodes[1]->follower_.Current();
  fresh.follower_.ApplyPeerOffer(state->revision_, state->offset_,
                                 state->text_);
  // It comes into force when the first read of the log has failed.
  REQUIRE(WaitUntil([&] { return fresh.follower_.Current() != nullptr; }));
  CHECK(fresh.follower_.Current()->revision_ == Revision(1));
  // An older or malformed state from a peer changes nothing.
  fresh.follower_.ApplyPeerOffer(Revision(0), LogOffset(0), "{}");
  fresh.follower_.ApplyPeerOffer(Revision(9), LogOffset(9), "{");
  CHECK(fresh.follower_.Current()->revision_ == Revision(1));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  server->SetFaults({});
  const PublishResult result =
      fresh.publisher_.PublishAndWait(RequestFor("b", Revision(1)));
  CHECK(result.state_ == PublishState::kAccepted);
  CHECK(WaitUntil([&] { return AllAt(nodes, Revision(2)); }));
}

// The process that a new one replaces may have had the newest revision in
// force, so the new one must not put an older one in force.
TEST_CASE("publish: a new process puts only the newest revision in force") {
  const auto server = OpenLog();
  Recorder recorder;
  Nodes nodes = StartNodes(1, *server, recorder);
  constexpr int kRevisions = 20;
  for (int round = 0; round < kRevisions; ++round) {
    REQUIRE(nodes[0]
                ->publisher_
                .PublishAndWait(
                    RequestFor("m" + std::to_string(round), Revision(round)))
                .state_ == PublishState::kAccepted);
  }
  std::mutex mutex;
  std::vector<Revision> seen;
  Node fresh(server->url(), 9, [&](const ConfigSnapshot& snapshot) {
    const std::lock_guard<std::mutex> lock(mutex);
    seen.push_back(snapshot.revision_);
  });
  // The state of a peer that is behind the log is ignored while the log can be
  // read.
  fresh.follower_.ApplyPeerOffer(Revision(3), LogOffset(3), "{}");
  REQUIRE(WaitUntil([&] {
    return fresh.follower_.revision() == Revision(kRevisions) &&
           fresh.follower_.Current() != nullptr;
  }));
  const std::lock_guard<std::mutex> lock(mutex);
  CHECK(seen == std::vector<Revision>{Revision(kRevisions)});
}

TEST_CASE("publish: time from publishing to in force everywhere") {
  const auto server = OpenLog();
  Recorder recorder;
  Nodes nodes = StartNodes(8, *server, recorder);
  const Clock clock = Clock::Steady();
  std::vector<int64_t> times;
  for (int round = 0; round < 30; ++round) {
    const Millis start = clock.Now();
    const PublishResult result = nodes[0]->publisher_.PublishAndWait(
        RequestFor("m" + std::to_string(round), Revision(round)));
    REQUIRE(result.state_ == PublishState::kAccepted);
    REQUIRE(WaitUntil([&] { return AllAt(nodes, Revision(round + 1)); }));
    times.push_back((clock.Now() - start).count());
  }
  std::sort(times.begin(), times.end());
  std::cout << "publish to in force at 8 followers, 30 rounds: median "
            << times[times.size() / 2] << " ms, worst " << times.back()
            << " ms\n";
  CHECK(times.back() < 9000);
}

}  // namespace
}  // namespace bergamotscale::config
