// Tests what upstreams and callers get when memory for request bodies is short.
#include "src/gateway/request_body.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "src/gateway/origin_log.h"
#include "src/policy/buffer_budget.h"
#include "tests/support/gateway_bench.h"
#include "tests/support/raw_caller.h"
#include "tests/support/raw_server.h"

namespace bergamotscale {
namespace {

using policy::BufferBudget;
using policy::BufferUse;
using testing::GatewayBench;
using testing::RawCaller;
using tests::RawServer;

constexpr size_t kBody = 3'000'000;
constexpr Bytes kMaxBody = Bytes(kBody);
constexpr Bytes kBudget = Bytes(kBody * 11 / 10);
constexpr size_t kOtherRequest = kBody * 3 / 20;
constexpr Millis kLongTimeout = Millis(8'000);

void Pause(Millis time) {
  std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

void Write(RawServer::Socket& socket, const std::string& text) {
  boost::system::error_code ignored;
  boost::asio::write(socket, boost::asio::buffer(text), ignored);
}

std::string MakeBody() {
  std::string body(kBody, 'b');
  for (size_t i = 0; i < body.size(); i += 1'000) {
    body[i] = static_cast<char>('a' + i / 1'000 % 26);
  }
  return body;
}

std::string StreamPart(const std::string& event) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
  return size + event + "\r\n";
}

std::string BeginStream(const std::string& event) {
  return "HTTP/1.1 200 OK\r\nX-Bergamotscale-Request-Id: r1\r\n"
         "X-Bergamotscale-Response-Seal: seal\r\n"
         "Transfer-Encoding: chunked\r\n\r\n" +
         StreamPart(event);
}

// An upstream that reads whole requests and keeps their bodies.
class BodyServer {
 public:
  // @param answer called with the number of the request. @return false to
  // close the connection.
  using Answer = std::function<bool(int number, RawServer::Socket& socket)>;

  explicit BodyServer(Answer answer, Millis pause_before_reading = Millis(0))
      : answer_(std::move(answer)),
        pause_(pause_before_reading),
        server_([this](int number,
                       const std::string& request,
                       RawServer::Socket& socket) {
          Read(request, socket);
          return answer_(number, socket);
        }) {}

  // Waits until a request has arrived, at least the beginning of it.
  void AwaitRequest() const {
    for (int i = 0; i < 500 && !has_request_; ++i) {
      Pause(Millis(10));
    }
    REQUIRE(has_request_);
  }

  std::string url() const { return server_.url(); }
  std::vector<std::string> bodies() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return bodies_;
  }

 private:
  void Read(const std::string& request, RawServer::Socket& socket) {
    has_request_ = true;
    Pause(pause_);
    const std::string field = "Content-Length: ";
    const size_t length =
        std::stoul(request.substr(request.find(field) + field.size()));
    const std::string body = tests::ReadBody(request, socket, length);
    const std::lock_guard<std::mutex> lock(mutex_);
    bodies_.push_back(body);
  }

  const Answer answer_;
  const Millis pause_;
  std::atomic<bool> has_request_{false};
  mutable std::mutex mutex_;
  std::vector<std::string> bodies_;
  RawServer server_;
};

// A gateway with memory for the body of one request and a little more.
struct ShortOfMemory {
  ShortOfMemory() : bench_(kMaxBody, kLongTimeout) {
    bench_.context().buffers_ = &budget_;
  }

  // Another request needs so much memory that this one is given up.
  void GiveUpBody() {
    bench_.Do([this] {
      other_.emplace(budget_, BufferUse::kRequest, [] {});
      other_->SetSize(kOtherRequest);
    });
    // The bodies are given up a turn of the event loop later.
    bench_.Do([] {});
    bench_.Do([] {});
  }
  // The list of upstreams was last read at this moment.
  void FreezeList() {
    bench_.state().upstreams_as_of_ = Clock::Boot().Now().count();
  }
  void ConfirmList() {
    bench_.state().upstreams_as_of_ =
        (Clock::Boot().Now() + GatewayBench::kListConfirmed).count();
  }
  std::string Request(const std::string& path) const {
    return GatewayBench::Request(path, "", MakeBody());
  }

  BufferBudget budget_{kBudget};
  std::optional<BufferBudget::Account> other_;
  GatewayBench bench_;
};

bool SendsEventAndBreaks(int /*number*/, RawServer::Socket& socket) {
  Write(socket, BeginStream("id: 1\ndata: a\n\n"));
  Pause(Millis(400));
  return false;
}

bool SendsRest(int /*number*/, RawServer::Socket& socket) {
  Write(socket, BeginStream("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  return true;
}

// While a resumed request held a connection and waited for the list of
// upstreams, its body was given up, and the next upstream ran an empty one.
TEST_CASE("request body: a resumed stream never goes on without its body") {
  BodyServer first(SendsEventAndBreaks);
  BodyServer second(SendsRest);
  ShortOfMemory system;
  system.bench_.SetUpstreams({first.url()});
  RawCaller caller(system.bench_.port());
  REQUIRE(caller.Send(system.Request("/resume/1")));
  caller.ReadUntil("data: a");
  system.bench_.SetUpstreams({second.url(), first.url()});
  system.FreezeList();
  // The first one breaks off, and the next connection waits for the list.
  Pause(Millis(900));
  system.GiveUpBody();
  system.ConfirmList();
  const std::string answer = caller.ReadAll();
  CHECK(answer.find("data: a") != std::string::npos);
  CHECK(answer.find("\r\n0\r\n\r\n") == std::string::npos);
  const std::vector<std::string> whole(first.bodies().size(), MakeBody());
  CHECK(first.bodies() == whole);
  CHECK(second.bodies().empty());
}

TEST_CASE("request body: a resumed stream goes on with its body") {
  BodyServer first(SendsEventAndBreaks);
  BodyServer second(SendsRest);
  ShortOfMemory system;
  system.bench_.SetUpstreams({first.url()});
  RawCaller caller(system.bench_.port());
  REQUIRE(caller.Send(system.Request("/resume/1")));
  caller.ReadUntil("data: a");
  system.bench_.SetUpstreams({first.url(), second.url()});
  const std::string answer = caller.ReadUntil("0\r\n\r\n");
  CHECK(answer.find("data: b") != std::string::npos);
  CHECK(answer.find("\r\n0\r\n\r\n") != std::string::npos);
  CHECK(second.bodies() == std::vector<std::string>{MakeBody()});
}

TEST_CASE("request body: a request given up in flight is still sent whole") {
  BodyServer server(
      [](int /*number*/, RawServer::Socket& socket) {
        Write(socket, GatewayBench::Answer("served"));
        return true;
      },
      Millis(500));
  ShortOfMemory system;
  system.bench_.SetUpstreams({server.url()});
  RawCaller caller(system.bench_.port());
  REQUIRE(caller.Send(system.Request("/read/1")));
  // The upstream hasn't read all of it.
  server.AwaitRequest();
  system.GiveUpBody();
  CHECK(caller.ReadUntil("served").find("200 OK") != std::string::npos);
  CHECK(server.bodies() == std::vector<std::string>{MakeBody()});
}

// A server that stopped reading an upload for 3.5 s lost the request.
TEST_CASE("request body: an upstream that stops reading gets it whole") {
  BodyServer server(
      [](int /*number*/, RawServer::Socket& socket) {
        Write(socket, GatewayBench::Answer("served"));
        return true;
      },
      Millis(3'500));
  GatewayBench bench(kMaxBody, kLongTimeout);
  bench.SetUpstreams({server.url()});
  RawCaller caller(bench.port());
  std::string request = GatewayBench::Request("/order/1", "", MakeBody());
  request.replace(request.find("3000"), 4, "8000");
  REQUIRE(caller.Send(request));
  CHECK(caller.ReadUntil("served").find("200 OK") != std::string::npos);
  CHECK(server.bodies() == std::vector<std::string>{MakeBody()});
}

TEST_CASE("request body: a rejected request without a body is not run") {
  BodyServer server([](int /*number*/, RawServer::Socket& socket) {
    Pause(Millis(500));
    Write(socket,
          "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n"
          "X-Bergamotscale-Not-Executed: 1\r\n\r\n");
    return true;
  });
  ShortOfMemory system;
  system.bench_.SetUpstreams({server.url()});
  RawCaller caller(system.bench_.port());
  REQUIRE(caller.Send(system.Request("/order/1")));
  server.AwaitRequest();
  system.GiveUpBody();
  const std::string answer = caller.ReadUntil("\r\n\r\n");
  CHECK(answer.find("HTTP/1.1 503") == 0);
  CHECK(answer.find("Retry-After") != std::string::npos);
  CHECK(server.bodies() == std::vector<std::string>{MakeBody()});
}

TEST_CASE("request body: a stalled stream without a body stays") {
  const auto answer = [](int number, RawServer::Socket& socket) {
    Write(socket, BeginStream("id: 1\ndata: a\n\n"));
    Pause(Millis(2'000));
    Write(socket, StreamPart("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    return number > 0;
  };
  BodyServer first(answer);
  BodyServer second(answer);
  ShortOfMemory system;
  system.bench_.SetUpstreams({first.url(), second.url()});
  RawCaller caller(system.bench_.port());
  REQUIRE(caller.Send(system.Request("/resume/1")));
  caller.ReadUntil("data: a");
  system.GiveUpBody();
  CHECK(caller.ReadUntil("0\r\n\r\n").find("data: b") != std::string::npos);
  CHECK(first.bodies().size() + second.bodies().size() == 1);
}

// The body counted only once the origin of the stream was known.
TEST_CASE("request body: a request that looks for its stream counts") {
  BodyServer server(SendsRest);
  ShortOfMemory system;
  system.bench_.SetUpstreams({server.url()});
  // A log that never answers.
  gateway::OriginStore store;
  store.read_versions_ = [](auto) {};
  store.read_fresh_versions_ = [](auto) {};
  store.write_versions_ = [](auto, auto, auto) {};
  store.append_ = [](auto, auto) {};
  store.read_ = [](auto, auto, auto) {};
  std::unique_ptr<gateway::OriginLog> log;
  gateway::ExchangeContext& context = system.bench_.context();
  system.bench_.Do([&] {
    log = std::make_unique<gateway::OriginLog>(
        context.io_, Clock::Boot(), store, &context.origins_,
        [] { return Millis(0); }, &context.metrics_, &context.log_);
    context.origin_log_ = log.get();
  });
  RawCaller caller(system.bench_.port());
  REQUIRE(caller.Send(
      GatewayBench::Request("/resume/1", "Last-Event-Id: 1\r\n", MakeBody())));
  size_t held = 0;
  for (int i = 0; i < 500 && held < kBody; ++i) {
    Pause(Millis(10));
    system.bench_.Do([&] { held = system.budget_.held(); });
  }
  CHECK(held >= kBody);
  system.GiveUpBody();
  CHECK(caller.ReadUntil("\r\n\r\n").find("HTTP/1.1 503") == 0);
  CHECK(server.bodies().empty());
  system.bench_.Do([&] {
    context.origin_log_ = nullptr;
    log.reset();
  });
}

TEST_CASE("request body: a released body is no empty one") {
  gateway::RequestBody body("prompt");
  CHECK(body.bytes() == "prompt");
  CHECK(body.is_kept());
  body.Release();
  CHECK_FALSE(body.is_kept());
  CHECK_FALSE(body.bytes().has_value());
  CHECK_FALSE(body.Take().has_value());
  CHECK(body.size() == Bytes(6));
  gateway::RequestBody taken("prompt");
  CHECK(taken.Take() == "prompt");
  CHECK_FALSE(taken.is_kept());
  CHECK(gateway::RequestBody("").Take() == "");
}

}  // namespace
}  // namespace bergamotscale
