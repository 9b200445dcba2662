// Tests CallerGuard in front of a cpprestsdk listener.
#include "src/http/caller_guard.h"

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <cpprest/producerconsumerstream.h>
#include <doctest/doctest.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include "src/http/listener.h"
#include "src/http/request_bounds.h"
#include "tests/support/free_port.h"
#include "tests/support/raw_caller.h"

namespace bergamotscale::http {
namespace {

using std::chrono::milliseconds;
using testing::RawCaller;

template <typename Condition>
bool WaitFor(const Condition& condition, milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(2));
  }
  return true;
}

std::string MakePost(const std::string& path, const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

int64_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  int64_t total_pages = 0;
  int64_t resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * sysconf(_SC_PAGESIZE);
}

// A listener with a guard in front, whose io_context runs on its own thread.
class GuardBench {
 public:
  explicit GuardBench(CallerGuardOptions options = CallerGuardOptions())
      : listener_port_(testing::FreePort()),
        listener_("127.0.0.1", listener_port_),
        work_(boost::asio::make_work_guard(io_)) {
    listener_.Route("POST", "/wait", [this](web::http::http_request request) {
      const std::string& address = request.remote_address();
      guard_->RequestStarted(address);
      watches_.push_back(guard_->OnCallerLeft(address, [this] { ++left_; }));
      waiting_.push_back(request);
      ++waiting_count_;
    });
    listener_.Route("POST", "/echo", [this](web::http::http_request request) {
      request.extract_utf8string(true).then(
          [this, request](const pplx::task<std::string>& body) {
            try {
              const std::string text = body.get();
              ++echoed_;
              ReplyText(request, 200, text, "text/plain");
            } catch (const std::exception&) {
              ++broken_bodies_;
            }
          });
    });
    listener_.Route("GET", "/stream", [this](web::http::http_request request) {
      Stream(request);
    });
    REQUIRE(listener_.Open().ok());
    options.public_endpoint_ = {"127.0.0.1", 0};
    options.listener_endpoint_ = {"127.0.0.1", listener_port_};
    guard_ = std::make_unique<CallerGuard>(io_, options);
    port_ = guard_->Listen().value().port_;
    thread_ = std::thread([this] { io_.run(); });
  }

  ~GuardBench() {
    boost::asio::post(io_, [this] { guard_->Close(); });
    work_.reset();
    thread_.join();
    for (web::http::http_request& request : waiting_) {
      ReplyText(request, 200, "late", "text/plain");
    }
    stream_buffer_.close(std::ios_base::out).wait();
    listener_.Close();
  }
  GuardBench(const GuardBench&) = delete;
  GuardBench& operator=(const GuardBench&) = delete;

  void Stream(web::http::http_request request) {
    const std::string& address = request.remote_address();
    guard_->RequestStarted(address);
    watches_.push_back(guard_->OnCallerLeft(address, [this] { ++left_; }));
    web::http::http_response response(200);
    response.set_body(
        concurrency::streams::istream(stream_buffer_.create_istream()),
        "text/event-stream");
    request.reply(response).then([](const pplx::task<void>& task) {
      try {
        task.get();
      } catch (const std::exception&) {
        // The caller disconnected, as in some tests.
      }
    });
    ++streaming_;
  }

  void Write(const std::string& text) {
    stream_buffer_
        .putn_nocopy(reinterpret_cast<const uint8_t*>(text.data()), text.size())
        .wait();
    stream_buffer_.sync().wait();
  }

  uint16_t listener_port_;
  Listener listener_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::unique_ptr<CallerGuard> guard_;
  uint16_t port_ = 0;
  std::atomic<int> left_{0};
  std::atomic<int> waiting_count_{0};
  std::atomic<int> echoed_{0};
  std::atomic<int> broken_bodies_{0};
  std::atomic<int> streaming_{0};
  std::vector<web::http::http_request> waiting_;
  std::vector<CallerWatch> watches_;
  concurrency::streams::producer_consumer_buffer<uint8_t> stream_buffer_;
  std::thread thread_;
};

TEST_CASE("caller guard: a caller that leaves while it waits is noticed") {
  GuardBench bench;
  // Without the guard, the listener doesn't detect the disconnect.
  RawCaller bare(bench.listener_port_);
  bare.Send(MakePost("/wait", "x"));
  REQUIRE(
      WaitFor([&] { return bench.waiting_count_ == 1; }, milliseconds(5000)));
  bare.Close();
  std::this_thread::sleep_for(milliseconds(1000));
  CHECK(!bench.waiting_[0].get_response().is_done());
  CHECK(bench.left_ == 0);

  RawCaller caller(bench.port_);
  caller.Send(MakePost("/wait", "x"));
  REQUIRE(
      WaitFor([&] { return bench.waiting_count_ == 2; }, milliseconds(5000)));
  CHECK(bench.waiting_[1].remote_address().rfind("127.1.", 0) == 0);
  caller.Close();
  CHECK(WaitFor([&] { return bench.left_ == 1; }, milliseconds(1000)));
  // A hook added after the disconnect is called as well.
  std::atomic<int> late{0};
  const CallerWatch watch = bench.guard_->OnCallerLeft(
      bench.waiting_[1].remote_address(), [&late] { ++late; });
  CHECK(WaitFor([&] { return late == 1; }, milliseconds(1000)));
}

TEST_CASE("caller guard: a cancelled hook is not called") {
  GuardBench bench;
  RawCaller caller(bench.port_);
  caller.Send(MakePost("/wait", "x"));
  REQUIRE(
      WaitFor([&] { return bench.waiting_count_ == 1; }, milliseconds(5000)));
  std::atomic<int> called{0};
  {
    const CallerWatch watch = bench.guard_->OnCallerLeft(
        bench.waiting_[0].remote_address(), [&called] { ++called; });
  }
  caller.Close();
  CHECK(WaitFor([&] { return bench.left_ == 1; }, milliseconds(1000)));
  CHECK(called == 0);
}

TEST_CASE(
    "caller guard: a caller with unread bytes is noticed when it leaves") {
  GuardBench bench;
  RawCaller caller(bench.port_);
  caller.Send(MakePost("/wait", "x"));
  REQUIRE(
      WaitFor([&] { return bench.waiting_count_ == 1; }, milliseconds(5000)));
  // More requests than the listener reads while the first one waits.
  for (int i = 0; i < 10; ++i) {
    REQUIRE(caller.Send(MakePost("/echo", std::string(4096, 'x'))));
  }
  std::this_thread::sleep_for(milliseconds(200));
  CHECK(bench.left_ == 0);
  caller.Close();
  CHECK(WaitFor([&] { return bench.left_ == 1; }, milliseconds(1000)));
}

TEST_CASE(
    "caller guard: a stream passes at once and its caller's end is detected") {
  GuardBench bench;
  RawCaller caller(bench.port_);
  caller.Send("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(WaitFor([&] { return bench.streaming_ == 1; }, milliseconds(5000)));
  const auto start = std::chrono::steady_clock::now();
  bench.Write("data: one\n\n");
  CHECK(caller.ReadUntil("data: one\n\n").find("data: one") !=
        std::string::npos);
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(500));
  caller.Close();
  CHECK(WaitFor([&] { return bench.left_ == 1; }, milliseconds(1000)));
}

TEST_CASE("caller guard: pipelined requests on one connection pass") {
  GuardBench bench;
  RawCaller caller(bench.port_);
  std::string requests;
  for (int i = 0; i < 5; ++i) {
    requests += MakePost("/echo", "body" + std::to_string(i));
  }
  caller.Send(requests);
  const std::string replies = caller.ReadUntil("body4");
  for (int i = 0; i < 5; ++i) {
    CHECK(replies.find("body" + std::to_string(i)) != std::string::npos);
  }
  // A chunked body, sent byte by byte.
  const std::string chunked =
      "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nchunk\r\n0\r\n\r\n";
  for (const char c : chunked) {
    caller.Send(std::string(1, c));
  }
  CHECK(caller.ReadUntil("chunk").find("chunk") != std::string::npos);
  caller.Send(MakePost("/echo", "after"));
  CHECK(caller.ReadUntil("after").find("after") != std::string::npos);
  CHECK(bench.echoed_ == 7);
}

TEST_CASE("caller guard: slow headers and slow bodies are answered 408") {
  CallerGuardOptions options;
  options.header_timeout_ = Millis(300);
  options.body_timeout_ = Millis(300);
  GuardBench bench(options);
  RawCaller slow_headers(bench.port_);
  slow_headers.Send("POST /echo HTTP/1.1\r\nHost:");
  RawCaller slow_body(bench.port_);
  slow_body.Send("POST /echo HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
  for (RawCaller* caller : {&slow_headers, &slow_body}) {
    const std::string reply = caller->ReadAll();
    CHECK(reply.rfind("HTTP/1.1 408 ", 0) == 0);
    CHECK(reply.find("\"caller_too_slow\"") != std::string::npos);
    CHECK(reply.find("\"not_run\"") != std::string::npos);
  }
  CHECK(bench.echoed_ == 0);
  RawCaller next(bench.port_);
  next.Send(MakePost("/echo", "fine"));
  CHECK(next.ReadUntil("fine").find("fine") != std::string::npos);
}

TEST_CASE("caller guard: headers and bodies over the limit are refused") {
  CallerGuardOptions options;
  options.max_header_ = Bytes(1000);
  options.max_body_ = Bytes(100000);
  GuardBench bench(options);
  RawCaller headers(bench.port_);
  headers.Send("GET /echo HTTP/1.1\r\nA: " + std::string(2000, 'a'));
  CHECK(headers.ReadAll().rfind("HTTP/1.1 431 ", 0) == 0);
  RawCaller declared(bench.port_);
  declared.Send("POST /echo HTTP/1.1\r\nContent-Length: 100001\r\n\r\n");
  CHECK(declared.ReadAll().rfind("HTTP/1.1 413 ", 0) == 0);
  RawCaller chunked(bench.port_);
  chunked.Send(
      "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 20; ++i) {
    chunked.Send("2710\r\n" + std::string(10000, 'x') + "\r\n");
  }
  CHECK(chunked.ReadAll().rfind("HTTP/1.1 413 ", 0) == 0);
  RawCaller within(bench.port_);
  within.Send(MakePost("/echo", std::string(99999, 'x') + "y"));
  CHECK(within.ReadUntil("xy").rfind("HTTP/1.1 200 ", 0) == 0);
  CHECK(bench.echoed_ == 1);
}

TEST_CASE("caller guard: a huge caller leaves memory bounded") {
  constexpr int64_t kAllowedGrowth = int64_t{16} * 1024 * 1024;
  CallerGuardOptions options;
  options.max_body_ = Bytes(int64_t{1} * 1024 * 1024);
  GuardBench bench(options);
  const int64_t before = ResidentBytes();
  RawCaller huge(bench.port_);
  huge.Send(
      "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
  for (int i = 0; i < 2000 && huge.Send(chunk); ++i) {
  }
  CHECK(huge.ReadAll().rfind("HTTP/1.1 413 ", 0) == 0);
  CHECK(ResidentBytes() - before < kAllowedGrowth);
  CHECK(bench.echoed_ == 0);
}

TEST_CASE("caller guard: too many connections are answered 503") {
  CallerGuardOptions options;
  options.max_connections_ = 2;
  GuardBench bench(options);
  RawCaller first(bench.port_);
  RawCaller second(bench.port_);
  CHECK(WaitFor([&] { return bench.guard_->open_connections() == 2; },
                milliseconds(5000)));
  RawCaller third(bench.port_);
  const std::string reply = third.ReadAll();
  CHECK(reply.rfind("HTTP/1.1 503 ", 0) == 0);
  CHECK(reply.find("Retry-After: 1\r\n") != std::string::npos);
  first.Close();
  CHECK(WaitFor([&] { return bench.guard_->open_connections() == 1; },
                milliseconds(1000)));
  RawCaller fourth(bench.port_);
  fourth.Send(MakePost("/echo", "fine"));
  CHECK(fourth.ReadUntil("fine").rfind("HTTP/1.1 200 ", 0) == 0);
}

// Blocks the io_context's thread during its lifetime.
class BusyThread {
 public:
  explicit BusyThread(boost::asio::io_context& io) {
    boost::asio::post(io, [this] {
      held_ = true;
      while (!released_) {
        std::this_thread::sleep_for(milliseconds(1));
      }
      held_ = false;
    });
    REQUIRE(WaitFor([&] { return held_.load(); }, milliseconds(5000)));
  }
  ~BusyThread() {
    released_ = true;
    WaitFor([&] { return !held_; }, milliseconds(5000));
  }
  BusyThread(const BusyThread&) = delete;
  BusyThread& operator=(const BusyThread&) = delete;

 private:
  std::atomic<bool> held_{false};
  std::atomic<bool> released_{false};
};

using Callers = std::vector<std::unique_ptr<RawCaller>>;

Callers Connect(const GuardBench& bench, int count) {
  Callers callers;
  for (int i = 0; i < count; ++i) {
    callers.push_back(std::make_unique<RawCaller>(bench.port_));
  }
  return callers;
}

// @return the number of callers that received the complete response.
int CountCompleteReplies(Callers& callers, const std::string& body) {
  int whole = 0;
  for (const auto& caller : callers) {
    whole += caller->ReadUntil(body).find(body) != std::string::npos ? 1 : 0;
  }
  return whole;
}

// @return callers that each received the response to one request.
Callers ConnectAnswered(const GuardBench& bench, int count) {
  Callers callers = Connect(bench, count);
  for (const auto& caller : callers) {
    REQUIRE(caller->Send(MakePost("/echo", "first")));
  }
  REQUIRE(CountCompleteReplies(callers, "first") == count);
  return callers;
}

// More than the 128 events that the io_context handles in one iteration, so the
// sweep runs before the rest of them.
constexpr int kManyCallers = 400;

TEST_CASE(
    "caller guard: a stop answers requests sent before they are accepted") {
  constexpr int kCallers = 50;
  GuardBench bench;
  Callers callers;
  {
    const BusyThread busy(bench.io_);
    callers = Connect(bench, kCallers);
    for (const auto& caller : callers) {
      REQUIRE(caller->Send(MakePost("/echo", "whole")));
    }
    bench.guard_->StopAccepting();
  }
  CHECK(CountCompleteReplies(callers, "whole") == kCallers);
}

TEST_CASE("caller guard: a stop cuts off no caller that connects meanwhile") {
  constexpr int kThreads = 4;
  GuardBench bench;
  std::atomic<int> cut{0};
  std::atomic<int> whole{0};
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (bool refused = false; !refused;) {
        std::unique_ptr<RawCaller> caller;
        try {
          caller = std::make_unique<RawCaller>(bench.port_);
        } catch (const boost::system::system_error&) {
          refused = true;
          continue;
        }
        caller->Send(MakePost("/echo", "whole"));
        const bool got =
            caller->ReadUntil("whole").find("whole") != std::string::npos;
        ++(got ? whole : cut);
      }
    });
  }
  std::this_thread::sleep_for(milliseconds(100));
  bench.guard_->StopAccepting();
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(whole > 0);
  CHECK(cut == 0);
}

TEST_CASE("caller guard: a stop waits for a new caller's first request") {
  GuardBench bench;
  RawCaller caller(bench.port_);
  REQUIRE(WaitFor([&] { return bench.guard_->open_connections() == 1; },
                  milliseconds(5000)));
  bench.guard_->StopAccepting();
  std::this_thread::sleep_for(milliseconds(400));
  CHECK(caller.Send(MakePost("/echo", "whole")));
  CHECK(caller.ReadUntil("whole").find("whole") != std::string::npos);
}

TEST_CASE("caller guard: a stop answers next requests that are not read yet") {
  GuardBench bench;
  Callers callers = ConnectAnswered(bench, kManyCallers);
  {
    const BusyThread busy(bench.io_);
    for (const auto& caller : callers) {
      REQUIRE(caller->Send(MakePost("/echo", "second")));
    }
    bench.guard_->StopAccepting();
    std::this_thread::sleep_for(milliseconds(300));
  }
  CHECK(CountCompleteReplies(callers, "second") == kManyCallers);
}

TEST_CASE("caller guard: a stop answers next requests sent before its sweep") {
  GuardBench bench;
  Callers callers = ConnectAnswered(bench, kManyCallers);
  {
    const BusyThread busy(bench.io_);
    bench.guard_->StopAccepting();
    std::this_thread::sleep_for(milliseconds(300));
    for (const auto& caller : callers) {
      REQUIRE(caller->Send(MakePost("/echo", "second")));
    }
  }
  CHECK(CountCompleteReplies(callers, "second") == kManyCallers);
}

TEST_CASE("caller guard: a body that came while this process paused is taken") {
  CallerGuardOptions options;
  options.body_timeout_ = Millis(200);
  GuardBench bench(options);
  Callers callers = Connect(bench, kManyCallers);
  for (const auto& caller : callers) {
    REQUIRE(caller->Send(
        "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nwh"));
  }
  {
    const BusyThread busy(bench.io_);
    std::this_thread::sleep_for(milliseconds(400));
    for (const auto& caller : callers) {
      REQUIRE(caller->Send("ole"));
    }
  }
  CHECK(CountCompleteReplies(callers, "whole") == kManyCallers);
}

TEST_CASE("caller guard: a graceful stop lets open requests end") {
  GuardBench bench;
  RawCaller idle(bench.port_);
  RawCaller caller(bench.port_);
  caller.Send(MakePost("/wait", "x"));
  REQUIRE(
      WaitFor([&] { return bench.waiting_count_ == 1; }, milliseconds(5000)));
  bench.guard_->StopAccepting();
  CHECK(idle.ReadAll().empty());
  CHECK(WaitFor([&] { return bench.guard_->open_connections() == 1; },
                milliseconds(1000)));
  const web::http::http_request request = bench.waiting_[0];
  bench.waiting_.clear();
  ReplyText(request, 200, "whole", "text/plain");
  bench.guard_->RequestFinished(request.remote_address());
  CHECK(caller.ReadAll().find("whole") != std::string::npos);
  CHECK(WaitFor([&] { return bench.guard_->open_connections() == 0; },
                milliseconds(1000)));
}

TEST_CASE("caller guard: bounds don't depend on how the bytes are split") {
  const std::string text = MakePost("/a", "12345") + MakePost("/b", "") +
                           MakePost("/c", std::string(50, 'c'));
  for (size_t size = 1; size <= text.size(); ++size) {
    RequestBounds bounds(Bytes(100), Bytes(50));
    for (size_t at = 0; at < text.size(); at += size) {
      std::string_view piece = std::string_view(text).substr(at, size);
      while (!piece.empty()) {
        size_t taken = 0;
        REQUIRE(bounds.Take(piece, &taken) == ErrorCode::kOk);
        piece.remove_prefix(taken);
        bounds.OnReply();
      }
    }
    CHECK(bounds.requests_begun() == 3);
    CHECK(bounds.phase() == RequestPhase::kBetween);
  }
  RequestBounds bounds(Bytes(100), Bytes(50));
  size_t taken = 0;
  CHECK(bounds.Take("POST / HTTP/1.1\r\ncontent-LENGTH : 51\r\n\r\n", &taken) ==
        ErrorCode::kBodyTooLarge);
}

}  // namespace
}  // namespace bergamotscale::http
