// Links: frames, streams, stream ends, drain, frozen and closed connections.
#include "src/link/link.h"

#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>
#include <boost/asio/io_context.hpp>

#include "src/link/frame_assembler.h"
#include "tests/support/relay.h"

namespace bergamotscale::link {
namespace {

using std::chrono::milliseconds;
using testing::Relay;

constexpr uint32_t kSeed = 20261204;
constexpr milliseconds kTimeout(10000);

// Runs the event loop until the condition holds. @return false on timeout.
template <typename Condition>
bool RunUntil(boost::asio::io_context& io,
              const Condition& condition,
              milliseconds timeout = kTimeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    io.run_for(milliseconds(1));
    io.restart();
  }
  return true;
}

std::string RandomText(std::mt19937_64& random, size_t size) {
  std::string text(size, '\0');
  for (char& c : text) {
    c = static_cast<char>(random());
  }
  return text;
}

// Messages and ends received by one side of a stream.
struct ReceivedEvents {
  std::vector<std::string> messages_;
  std::vector<StreamEnd> ends_;
};

StreamHooks RecordEvents(const std::shared_ptr<ReceivedEvents>& seen) {
  StreamHooks hooks;
  hooks.on_message_ = [seen](std::string_view frame) {
    seen->messages_.emplace_back(frame);
  };
  hooks.on_end_ = [seen](StreamEnd end) { seen->ends_.push_back(end); };
  return hooks;
}

// A client, and a server that records its streams and their events.
struct Bench {
  explicit Bench(const LinkOptions& options = LinkOptions())
      : options_(options),
        server_(io_, options, [this](const std::string& path, Stream stream) {
          paths_.push_back(path);
          streams_.push_back(stream);
          seen_.push_back(std::make_shared<ReceivedEvents>());
          return accept_ ? accept_(stream) : RecordEvents(seen_.back());
        }) {
    const Result<Endpoint> bound = server_.Listen({"127.0.0.1", 0});
    REQUIRE(bound.ok());
    endpoint_ = bound.value();
  }

  void Connect(const Endpoint& peer) {
    client_ = std::make_unique<LinkClient>(
        io_, peer, options_,
        [this](bool usable) { states_.push_back(usable); });
    client_->Start();
    REQUIRE(RunUntil(io_, [this] { return client_->usable(); }));
  }

  Stream Open(const std::shared_ptr<ReceivedEvents>& seen) {
    Result<Stream> stream = client_->Open("/work", RecordEvents(seen));
    REQUIRE(stream.ok());
    return stream.value();
  }

  bool Run(const std::function<bool()>& condition) {
    return RunUntil(io_, condition);
  }

  LinkOptions options_;
  boost::asio::io_context io_;
  Endpoint endpoint_;
  std::function<StreamHooks(Stream)> accept_;
  std::vector<std::string> paths_;
  std::vector<Stream> streams_;
  std::vector<std::shared_ptr<ReceivedEvents>> seen_;
  std::vector<bool> states_;
  LinkServer server_;
  std::unique_ptr<LinkClient> client_;
};

TEST_CASE("link: frames are reassembled from pieces of any size") {
  MESSAGE("seed " << kSeed);
  std::mt19937_64 random(kSeed);
  for (int round = 0; round < 50; ++round) {
    std::vector<std::string> sent;
    std::string bytes;
    for (int i = 0; i < 20; ++i) {
      sent.push_back(RandomText(random, random() % 300));
      AppendFrame(sent.back(), &bytes);
    }
    FrameAssembler assembler(Bytes(300));
    std::vector<std::string> received;
    for (size_t at = 0; at < bytes.size();) {
      const size_t size = 1 + random() % 500;
      const Status fed =
          assembler.Feed(std::string_view(bytes).substr(at, size),
                         [&received](std::string_view frame) {
                           received.emplace_back(frame);
                           return true;
                         });
      REQUIRE(fed.ok());
      at += size;
    }
    CHECK(received == sent);
    CHECK(assembler.empty());
  }
}

TEST_CASE("link: endpoints are parsed from text") {
  CHECK(ParseEndpoint("127.0.0.1:80").value() == Endpoint{"127.0.0.1", 80});
  for (const char* text :
       {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "host:1", "1.2.3:4",
        "127.0.0.1:+1", "127.0.0.1:123456"}) {
    CHECK(!ParseEndpoint(text).ok());
  }
}

TEST_CASE("link: messages go both ways and both sides finish") {
  Bench bench;
  bench.Connect(bench.endpoint_);
  const auto seen = std::make_shared<ReceivedEvents>();
  Stream stream = bench.Open(seen);
  stream.Send("question");
  stream.Send("");
  REQUIRE(bench.Run([&] {
    return !bench.seen_.empty() && bench.seen_[0]->messages_.size() == 2;
  }));
  CHECK(bench.paths_ == std::vector<std::string>{"/work"});
  CHECK(bench.seen_[0]->messages_ == std::vector<std::string>{"question", ""});
  bench.streams_[0].Send("answer");
  bench.streams_[0].Finish();
  CHECK(!bench.streams_[0].open());
  REQUIRE(bench.Run([&] { return bench.server_.open_streams() == 0; }));
  CHECK(seen->messages_ == std::vector<std::string>{"answer"});
  CHECK(seen->ends_ == std::vector<StreamEnd>{StreamEnd::kFinished});
  CHECK(bench.seen_[0]->ends_ == std::vector<StreamEnd>{StreamEnd::kFinished});
  CHECK(!stream.open());
}

TEST_CASE("link: a client that finishes first still gets the answer") {
  Bench bench;
  bench.Connect(bench.endpoint_);
  const auto seen = std::make_shared<ReceivedEvents>();
  Stream stream = bench.Open(seen);
  stream.Send("question");
  stream.Finish();
  stream.Send("dropped");
  REQUIRE(bench.Run(
      [&] { return !bench.seen_.empty() && !bench.seen_[0]->ends_.empty(); }));
  CHECK(bench.seen_[0]->messages_ == std::vector<std::string>{"question"});
  CHECK(bench.seen_[0]->ends_[0] == StreamEnd::kFinished);
  REQUIRE(bench.streams_[0].open());
  bench.streams_[0].Send("answer");
  bench.streams_[0].Finish();
  REQUIRE(bench.Run([&] { return !seen->ends_.empty(); }));
  CHECK(seen->messages_ == std::vector<std::string>{"answer"});
  REQUIRE(bench.Run([&] { return bench.server_.open_streams() == 0; }));
}

TEST_CASE("link: messages of concurrent streams arrive unchanged") {
  MESSAGE("seed " << kSeed);
  std::mt19937_64 random(kSeed);
  constexpr size_t kStreams = 2000;
  Bench bench;
  bench.accept_ = [](Stream stream) {
    StreamHooks hooks;
    hooks.on_message_ = [stream](std::string_view frame) mutable {
      stream.Send(std::string(frame));
    };
    hooks.on_end_ = [stream](StreamEnd) mutable { stream.Finish(); };
    return hooks;
  };
  bench.Connect(bench.endpoint_);
  std::vector<std::shared_ptr<ReceivedEvents>> seen;
  std::vector<std::vector<std::string>> sent(kStreams);
  std::vector<Stream> streams;
  size_t finished = 0;
  for (size_t i = 0; i < kStreams; ++i) {
    seen.push_back(std::make_shared<ReceivedEvents>());
    StreamHooks hooks = RecordEvents(seen.back());
    hooks.on_end_ = [&finished, record = seen.back()](StreamEnd end) {
      record->ends_.push_back(end);
      ++finished;
    };
    streams.push_back(bench.client_->Open("/work", hooks).value());
  }
  for (int round = 0; round < 5; ++round) {
    for (size_t i = 0; i < kStreams; ++i) {
      const bool large = random() % 100 == 0;
      sent[i].push_back(RandomText(random, random() % (large ? 200000 : 500)));
      streams[i].Send(sent[i].back());
    }
  }
  for (Stream& stream : streams) {
    stream.Finish();
  }
  REQUIRE(bench.Run([&] { return finished == kStreams; }));
  size_t wrong = 0;
  for (size_t i = 0; i < kStreams; ++i) {
    wrong += seen[i]->messages_ != sent[i] ? 1 : 0;
    wrong +=
        seen[i]->ends_.size() != 1 || seen[i]->ends_[0] != StreamEnd::kFinished
            ? 1
            : 0;
  }
  CHECK(wrong == 0);
}

TEST_CASE("link: a reset is reported to the peer only") {
  Bench bench;
  bench.Connect(bench.endpoint_);
  const auto seen = std::make_shared<ReceivedEvents>();
  Stream by_client = bench.Open(seen);
  by_client.Send("first");
  REQUIRE(bench.Run([&] {
    return !bench.seen_.empty() && bench.seen_[0]->messages_.size() == 1;
  }));
  bench.streams_[0].Send("late");
  by_client.Reset();
  REQUIRE(bench.Run([&] { return !bench.seen_[0]->ends_.empty(); }));
  CHECK(bench.seen_[0]->ends_[0] == StreamEnd::kReset);
  CHECK(seen->messages_.empty());
  CHECK(seen->ends_.empty());
  CHECK(bench.server_.open_streams() == 0);

  Stream by_server = bench.Open(seen);
  REQUIRE(bench.Run([&] { return bench.streams_.size() == 2; }));
  bench.streams_[1].Reset();
  REQUIRE(bench.Run([&] { return !seen->ends_.empty(); }));
  CHECK(seen->ends_ == std::vector<StreamEnd>{StreamEnd::kReset});
  CHECK(bench.seen_[1]->ends_.empty());
  CHECK(!by_server.open());
}

TEST_CASE("link: thousands of reset streams don't break the connection") {
  constexpr int kResets = 5000;
  Bench bench;
  bench.Connect(bench.endpoint_);
  const auto ignored = std::make_shared<ReceivedEvents>();
  for (int i = 0; i < kResets; ++i) {
    Stream stream = bench.Open(ignored);
    stream.Send("reserve");
    if (i % 2 == 0) {
      bench.io_.poll();
      bench.io_.restart();
    }
    stream.Reset();
  }
  const auto seen = std::make_shared<ReceivedEvents>();
  Stream stream = bench.Open(seen);
  stream.Send("last");
  REQUIRE(bench.Run([&] {
    return !bench.seen_.empty() &&
           bench.seen_.back()->messages_ == std::vector<std::string>{"last"};
  }));
  CHECK(bench.states_ == std::vector<bool>{true});
  CHECK(bench.server_.open_streams() == 1);
}

TEST_CASE("link: an oversized frame resets the stream, not the connection") {
  LinkOptions options;
  options.max_frame_ = Bytes(1000);
  Bench bench(options);
  bench.Connect(bench.endpoint_);
  const auto seen = std::make_shared<ReceivedEvents>();
  Stream stream = bench.Open(seen);
  stream.Send(std::string(1000, 'a'));
  stream.Send(std::string(1001, 'b'));
  REQUIRE(bench.Run([&] { return !seen->ends_.empty(); }));
  CHECK(seen->ends_[0] == StreamEnd::kReset);
  CHECK(bench.seen_[0]->messages_.size() == 1);
  CHECK(bench.seen_[0]->ends_ == std::vector<StreamEnd>{StreamEnd::kReset});
  CHECK(bench.client_->usable());
}

TEST_CASE(
    "link: a draining server accepts no new streams, open ones continue") {
  Bench bench;
  bench.Connect(bench.endpoint_);
  const auto seen = std::make_shared<ReceivedEvents>();
  Stream stream = bench.Open(seen);
  REQUIRE(bench.Run([&] { return !bench.streams_.empty(); }));
  bench.server_.Drain();
  REQUIRE(bench.Run([&] { return !bench.client_->usable(); }));
  CHECK(!bench.client_->Open("/work", StreamHooks()).ok());
  stream.Send("question");
  REQUIRE(bench.Run([&] { return !bench.seen_[0]->messages_.empty(); }));
  bench.streams_[0].Send("answer");
  bench.streams_[0].Finish();
  REQUIRE(bench.Run([&] { return bench.server_.open_streams() == 0; }));
  CHECK(seen->messages_ == std::vector<std::string>{"answer"});
  CHECK(seen->ends_ == std::vector<StreamEnd>{StreamEnd::kFinished});
}

TEST_CASE("link: a silent connection is noticed by both sides within 3 s") {
  Bench bench;
  Relay relay(bench.io_, bench.endpoint_);
  bench.Connect(relay.endpoint());
  const auto seen = std::make_shared<ReceivedEvents>();
  Stream stream = bench.Open(seen);
  stream.Send("question");
  REQUIRE(bench.Run([&] { return !bench.streams_.empty(); }));
  const auto start = std::chrono::steady_clock::now();
  relay.Freeze();
  REQUIRE(bench.Run(
      [&] { return !seen->ends_.empty() && !bench.seen_[0]->ends_.empty(); }));
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(3000));
  CHECK(seen->ends_[0] == StreamEnd::kLost);
  CHECK(bench.seen_[0]->ends_[0] == StreamEnd::kLost);
  CHECK(!stream.open());
  // The relay forwards new connections, so the client is usable again.
  REQUIRE(bench.Run([&] { return bench.client_->usable(); }));
  Stream next = bench.Open(seen);
  next.Send("again");
  REQUIRE(bench.Run([&] {
    return bench.seen_.size() == 2 && !bench.seen_[1]->messages_.empty();
  }));
  CHECK(bench.states_ == std::vector<bool>{true, false, true});
}

TEST_CASE(
    "link: a lost connection ends the streams, and the client reconnects") {
  Bench bench;
  Relay relay(bench.io_, bench.endpoint_);
  bench.Connect(relay.endpoint());
  const auto seen = std::make_shared<ReceivedEvents>();
  Stream stream = bench.Open(seen);
  REQUIRE(bench.Run([&] { return !bench.streams_.empty(); }));
  relay.Cut();
  REQUIRE(bench.Run([&] { return !seen->ends_.empty(); }));
  CHECK(seen->ends_ == std::vector<StreamEnd>{StreamEnd::kLost});
  REQUIRE(bench.Run([&] { return bench.client_->usable(); }));
  CHECK(bench.server_.open_streams() == 0);
}

TEST_CASE("link: a peer that accepts but sends nothing is not usable") {
  LinkOptions options;
  options.connect_timeout_ = Millis(100);
  Bench bench(options);
  Relay relay(bench.io_, bench.endpoint_);
  relay.FreezeNew(true);
  LinkClient client(bench.io_, relay.endpoint(), options, nullptr);
  client.Start();
  CHECK(!RunUntil(
      bench.io_, [&] { return client.usable(); }, milliseconds(500)));
  relay.FreezeNew(false);
  CHECK(bench.Run([&] { return client.usable(); }));
}

TEST_CASE("link: hooks may destroy the client and the server") {
  Bench bench;
  bench.Connect(bench.endpoint_);
  const auto lost = std::make_shared<ReceivedEvents>();
  Stream other = bench.Open(lost);
  StreamHooks hooks;
  hooks.on_message_ = [&bench](std::string_view) { bench.client_.reset(); };
  Stream stream = bench.client_->Open("/work", hooks).value();
  REQUIRE(bench.Run([&] { return bench.streams_.size() == 2; }));
  for (int i = 0; i < 3; ++i) {
    bench.streams_[1].Send("stop");
  }
  REQUIRE(bench.Run([&] { return bench.client_ == nullptr; }));
  CHECK(lost->ends_ == std::vector<StreamEnd>{StreamEnd::kLost});
  REQUIRE(bench.Run([&] { return bench.server_.open_streams() == 0; }));

  bench.accept_ = [&bench](Stream) {
    bench.server_.Close();
    return RecordEvents(bench.seen_.back());
  };
  bench.Connect(bench.endpoint_);
  const auto seen = std::make_shared<ReceivedEvents>();
  Stream last = bench.Open(seen);
  REQUIRE(bench.Run([&] { return !seen->ends_.empty(); }));
  CHECK(seen->ends_[0] == StreamEnd::kLost);
  CHECK(bench.seen_.back()->ends_ == std::vector<StreamEnd>{StreamEnd::kLost});
}

}  // namespace
}  // namespace bergamotscale::link
