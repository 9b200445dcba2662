// Callers and upstreams that stop reading for some seconds and then read on.
#include <csignal>

#include <fstream>
#include <functional>
#include <sstream>
#include <string>

#include <doctest/doctest.h>

#include "tests/support/gateway_process.h"

namespace bergamotscale::tests {
namespace {

constexpr Millis kStop = Millis(4'000);
constexpr Millis kGrace = Millis(8'000);
constexpr int kEvents = 400;
constexpr size_t kEventBytes = 4'000;

// Sends its events at once.
bool AnswerLongStream(const ServerCall& call, Wire& wire, bool* /*did_run*/) {
  std::string bytes = AnswerHead(call, "200 OK",
                                 "Content-Type: text/event-stream\r\n"
                                 "Transfer-Encoding: chunked\r\n");
  for (int i = 1; i <= kEvents; ++i) {
    const std::string event = "id: " + std::to_string(i) +
                              "\ndata: " + std::string(kEventBytes, 'e') +
                              "\n\n";
    std::ostringstream size;
    size << std::hex << event.size();
    bytes += size.str() + "\r\n" + event + "\r\n";
  }
  // Like a server that drops what stays unread.
  return wire.Write(bytes + "0\r\n\r\n");
}

struct SlowBench {
  ScratchFolder folder_;
  StoreStandIn store_{LoopbackIp(1)};
  ServerStandIn engine_{store_, "i-1", "llm", LoopbackIp(2), AnswerLongStream};
  GatewayProcess gateway_{folder_.File(""), LoopbackIp(4), store_.address()};

  SlowBench() {
    store_.Put("keyed.op", "config", MakeConfig(1));
    gateway_.Start();
    REQUIRE(gateway_.AwaitReady(Millis(10'000)));
    SleepFor(Millis(500));
  }

  // Sends a request and calls `before_reading` before it reads the answer.
  CallerAnswer Call(const std::string& id,
                    const std::function<void()>& before_reading) const {
    CallerRequest request;
    request.path_ = "/stream/1";
    request.id_ = id;
    request.patience_ = Millis(9'000);
    request.body_ = "prompt";
    const auto wire = Wire::Open(gateway_.address());
    REQUIRE(wire != nullptr);
    return Exchange(*wire, request, before_reading);
  }

  // @return how many lines of the log have both texts.
  int CountLines(const std::string& event, const std::string& text) const {
    std::ifstream log(gateway_.log_file());
    int count = 0;
    for (std::string line; std::getline(log, line);) {
      count += line.find("event=" + event + " ") != std::string::npos &&
                       line.find(text) != std::string::npos
                   ? 1
                   : 0;
    }
    return count;
  }
};

// Its connection was reset after 2.5 s, and the log said that it was answered.
TEST_CASE("slow peers: a caller that stops reading gets its whole stream") {
  SlowBench bench;
  const CallerAnswer answer = bench.Call("slow", [] { SleepFor(kStop); });
  CHECK(answer.status_ == 200);
  CHECK(answer.is_whole_);
  CHECK(answer.body_.size() > kEvents * kEventBytes);
  SleepFor(Millis(500));
  CHECK(bench.CountLines("answered", "request=slow ") == 1);
  CHECK(bench.CountLines("answer_lost", "") == 0);
}

TEST_CASE("slow peers: a caller that leaves is not logged as answered") {
  SlowBench bench;
  {
    CallerRequest request;
    request.path_ = "/stream/1";
    request.id_ = "gone";
    request.patience_ = Millis(9'000);
    const auto wire = Wire::Open(bench.gateway_.address());
    REQUIRE(wire != nullptr);
    REQUIRE(wire->Write(request.Head()));
    SleepFor(Millis(1'500));
    wire->Shutdown(true);
  }
  SleepFor(Millis(700));
  CHECK(bench.CountLines("answered", "request=gone ") == 0);
  CHECK(bench.CountLines("answer_lost", "request=gone ") == 1);
}

// The stop waits for it until the end of the grace time.
TEST_CASE("slow peers: a caller that stops reading in a stop gets its stream") {
  SlowBench bench;
  const CallerAnswer answer = bench.Call("slow", [&] {
    SleepFor(Millis(300));
    bench.gateway_.Signal(SIGTERM);
    SleepFor(kStop);
  });
  CHECK(answer.status_ == 200);
  CHECK(answer.is_whole_);
  CHECK(bench.gateway_.AwaitEnd(kGrace));
  CHECK(bench.CountLines("answered", "request=slow ") == 1);
  CHECK(bench.CountLines("stopped", "sessions_cut=0") == 1);
}

// One that reads nothing keeps neither its response nor the process.
TEST_CASE("slow peers: a caller that never reads ends with its request") {
  SlowBench bench;
  CallerAnswer answer = bench.Call("never", [] { SleepFor(Millis(11'000)); });
  CHECK_FALSE(answer.is_whole_);
  CHECK(bench.CountLines("answer_lost", "request=never ") == 1);
  answer = bench.Call("stopped", [&] {
    SleepFor(Millis(300));
    bench.gateway_.Signal(SIGTERM);
    CHECK(bench.gateway_.AwaitEnd(kGrace));
  });
  CHECK_FALSE(answer.is_whole_);
  CHECK(bench.CountLines("answer_lost", "request=stopped ") == 1);
}

}  // namespace
}  // namespace bergamotscale::tests
