#include "src/web/caller_session.h"

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "src/web/listener.h"
#include "src/web/peer_watch.h"
#include "tests/support/child_process.h"
#include "tests/support/silent_socket.h"

namespace bergamotscale::testing {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr char kRequest[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr milliseconds kCheckTime{web::kResetCheckTime.count()};
// Far more than a caller receives that reads nothing.
constexpr int kReceiveBuffer = 4'096;
constexpr size_t kLongBody = size_t{48} << 10;
// More than the system's buffers hold.
constexpr size_t kHugeBody = size_t{400} << 10;
// A caller notices a silent peer by then, too.
constexpr milliseconds kLossNoticed{4'000};

// One caller, and a listener that leaves its requests to the test.
class OneCaller {
 public:
  explicit OneCaller(policy::BufferBudget* budget = nullptr)
      : budget_(budget), listener_(io_, Hooks(), 10), caller_(callers_) {
    const tcp::endpoint address(boost::asio::ip::make_address("127.0.0.1"),
                                tests::FreePort());
    REQUIRE(listener_.Start(address).ok());
    caller_.open(tcp::v4());
    caller_.set_option(tcp::socket::receive_buffer_size(kReceiveBuffer));
    caller_.connect(address);
  }

  // @return the responder of the request; null if the session doesn't read it.
  std::shared_ptr<web::Responder> Request(
      const std::string& request = kRequest) {
    responder_ = nullptr;
    boost::asio::write(caller_, boost::asio::buffer(request));
    io_.restart();
    while (responder_ == nullptr && io_.run_one_for(milliseconds(2'000)) > 0) {
    }
    return responder_;
  }
  void Run(milliseconds time) {
    io_.restart();
    io_.run_for(time);
  }

  // Reads up to the end of the connection or the given number of bytes.
  size_t Read(size_t limit) {
    std::string bytes(limit, ' ');
    boost::system::error_code error;
    caller_.non_blocking(true);
    size_t received = 0;
    for (int i = 0; i < 2'000 && received < limit; ++i) {
      const size_t count = caller_.read_some(
          boost::asio::buffer(&bytes[received], limit - received), error);
      received += count;
      if (error && error != boost::asio::error::would_block) {
        break;
      }
      if (count == 0) {
        Run(milliseconds(1));
      }
    }
    return received;
  }

  tcp::socket& caller() { return caller_; }
  Millis& time_limit() { return time_limit_; }
  int times_writable() const { return times_writable_; }
  // What was told of the responses, "whole" or why they were lost.
  const std::vector<std::string>& settled() const { return settled_; }
  web::SessionLimits& limits() { return limits_; }
  bool has_left() const { return has_left_; }

 private:
  web::SessionHooks Hooks() {
    web::SessionHooks hooks;
    hooks.limits_ = [this] { return limits_; };
    hooks.on_request_ = [this](const web::IncomingRequest& /*request*/,
                               std::shared_ptr<web::Responder> responder) {
      responder_ = std::move(responder);
      web::CallerHooks caller;
      caller.on_disconnect_ = [this] { has_left_ = true; };
      caller.on_writable_ = [this] { ++times_writable_; };
      caller.on_settled_ = [this](const char* loss) {
        settled_.emplace_back(loss == nullptr ? "whole" : loss);
      };
      caller.time_limit_ = time_limit_;
      return caller;
    };
    hooks.on_refused_ = [](int /*status*/, const std::string& /*reason*/) {};
    hooks.on_closed_ = [] {};
    hooks.stopping_ = [] { return false; };
    hooks.buffers_ = budget_;
    return hooks;
  }

  boost::asio::io_context io_;
  boost::asio::io_context callers_;
  policy::BufferBudget* const budget_;
  Millis time_limit_ = Millis(10'000);
  std::vector<std::string> settled_;
  int times_writable_ = 0;
  web::SessionLimits limits_{Bytes(8'192), Bytes(8'192), Millis(5'000),
                             Millis(5'000)};
  std::shared_ptr<web::Responder> responder_;
  bool has_left_ = false;
  web::Listener listener_;
  tcp::socket caller_;
};

// What was sent to callers that had left could be on its way for longer than
// the check took. They counted as still reading, and their requests were sent.
TEST_CASE("caller session: a caller that confirms nothing may have left") {
  OneCaller bench;
  bench.Request()->Reply(200, {}, std::string(kLongBody, 'a'));
  const auto responder = bench.Request();
  bench.caller().shutdown(tcp::socket::shutdown_send);
  bench.Run(kCheckTime * 4);
  CHECK(responder->MayHaveLeft());
  CHECK_FALSE(bench.has_left());

  // It reads after all.
  std::array<char, 65'536> buffer{};
  for (size_t received = 0; received < kLongBody;) {
    received += bench.caller().read_some(boost::asio::buffer(buffer));
  }
  bench.Run(kCheckTime * 10);
  CHECK_FALSE(responder->MayHaveLeft());
  CHECK_FALSE(bench.has_left());
}

TEST_CASE("caller session: a reset counts before the next check") {
  OneCaller bench;
  const auto responder = bench.Request();
  bench.caller().shutdown(tcp::socket::shutdown_send);
  CHECK_FALSE(bench.has_left());
  bench.Run(kCheckTime * 3);
  CHECK_FALSE(responder->MayHaveLeft());
  // Closed with a byte unread, which resets the connection.
  bench.caller().close();
  CHECK(responder->MayHaveLeft());
  bench.Run(milliseconds(1));
  CHECK(bench.has_left());
}

// A configuration that shortened the idle timeout during a stream made the
// session close before the time that its head had announced.
TEST_CASE("caller session: an idle connection stays open as announced") {
  OneCaller bench;
  bench.limits().idle_timeout_ = Millis(2'000);
  const auto responder = bench.Request();
  responder->BeginStream(200, {});
  bench.limits().idle_timeout_ = Millis(100);
  responder->EndStream();
  bench.Run(milliseconds(1'500));
  CHECK(bench.Request() != nullptr);
}

// The caller sends until the end of the time that was announced.
TEST_CASE("caller session: a request at the end of the idle time is read") {
  OneCaller bench;
  bench.limits().idle_timeout_ = Millis(1'000);
  bench.Request()->Reply(200, {}, "a");
  bench.Run(milliseconds(1'050));
  CHECK(bench.Request() != nullptr);
}

// A caller of HTTP/1.0 took a stream that was broken off for a whole one.
TEST_CASE("caller session: a broken stream without chunks ends with a reset") {
  OneCaller bench;
  const auto responder = bench.Request("GET / HTTP/1.0\r\nHost: h\r\n\r\n");
  responder->BeginStream(200, {});
  responder->Write("a part of it");
  bench.Run(milliseconds(50));
  responder->Abort();
  bench.Run(milliseconds(50));
  boost::system::error_code error;
  std::array<char, 4'096> buffer{};
  while (!error) {
    bench.caller().read_some(boost::asio::buffer(buffer), error);
  }
  CHECK(error == boost::asio::error::connection_reset);
}

// The parser's exception ended the process.
TEST_CASE("caller session: a header field of 64 KiB is rejected") {
  OneCaller bench;
  bench.limits().max_header_ = Bytes(200'000);
  const std::string head =
      "GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(70'000, 'a') +
      "\r\n\r\n";
  boost::asio::write(bench.caller(), boost::asio::buffer(head));
  CHECK_NOTHROW(bench.Run(milliseconds(100)));
  std::string answer(12, ' ');
  boost::asio::read(bench.caller(), boost::asio::buffer(answer));
  CHECK(answer == "HTTP/1.1 431");
}

// Trailers had no limit, so any caller could end the process.
TEST_CASE("caller session: a trailer field of 64 KiB is rejected") {
  OneCaller bench;
  const std::string request =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\nX-Long: " +
      std::string(70'000, 'a') + "\r\n\r\n";
  boost::asio::write(bench.caller(), boost::asio::buffer(request));
  CHECK_NOTHROW(bench.Run(milliseconds(100)));
  std::string answer(12, ' ');
  boost::asio::read(bench.caller(), boost::asio::buffer(answer));
  CHECK(answer == "HTTP/1.1 431");
}

// The kernel's buffers grew to several megabytes for a caller that reads
// nothing, and count towards the memory of the machine.
TEST_CASE("caller session: the system keeps little for a slow caller") {
  OneCaller bench;
  const auto responder = bench.Request();
  responder->BeginStream(200, {});
  const std::string part(size_t{64} << 10, 'a');
  size_t written = 0;
  for (int i = 0; i < 200 && responder->Write(part); ++i) {
    written += part.size();
    bench.Run(milliseconds(2));
  }
  // What is being written and what waits for it.
  constexpr size_t kOwnBuffers = 2 * (size_t{256} << 10) + (size_t{128} << 10);
  constexpr size_t kSystemBuffers = size_t{256} << 10;
  CHECK(written <= kOwnBuffers + kSystemBuffers);
}

// A caller that stopped reading for 4 s got a reset in place of the rest of its
// response, which was complete.
TEST_CASE("caller session: a caller that stops reading gets its response") {
  for (const size_t size : {kLongBody, kHugeBody}) {
    CAPTURE(size);
    OneCaller bench;
    bench.Request()->Reply(200, {}, std::string(size, 'a'));
    bench.Run(milliseconds(4'500));
    CHECK(bench.settled().empty());
    CHECK(bench.Read(size) == size);
    bench.Run(milliseconds(1'500));
    CHECK(bench.settled() == std::vector<std::string>{"whole"});
    CHECK_FALSE(bench.has_left());
  }
}

// So did one whose stream went on, and one that had been idle before.
TEST_CASE("caller session: a caller that stops reading gets its stream") {
  OneCaller bench;
  bench.Request()->Reply(200, {}, "first");
  bench.Run(milliseconds(1'500));
  CHECK(bench.settled().size() == 1);
  const auto responder = bench.Request();
  responder->BeginStream(200, {});
  for (int i = 0; i < 20; ++i) {
    responder->Write(std::string(10'000, 'a'));
    bench.Run(milliseconds(200));
  }
  responder->EndStream();
  bench.Run(milliseconds(500));
  CHECK(bench.settled().size() == 1);
  CHECK(bench.Read(200'000) == 200'000);
  bench.Run(milliseconds(1'500));
  CHECK(bench.settled() == std::vector<std::string>{"whole", "whole"});
}

// What tells a lost caller from a slow one is whether it confirms anything.
TEST_CASE("caller session: a caller that is lost is noticed") {
  for (const int stop_ms : {0, 700, 3'500}) {
    const milliseconds stops_reading{stop_ms};
    CAPTURE(stops_reading.count());
    OneCaller bench;
    const auto responder = bench.Request();
    responder->BeginStream(200, {});
    // With the window closed before the loss, unless it comes at once.
    if (stops_reading.count() > 0) {
      responder->Write(std::string(kLongBody, 'a'));
    }
    bench.Run(stops_reading);
    CHECK_FALSE(bench.has_left());
    REQUIRE(LosePackets(bench.caller().native_handle()));
    responder->Write("b");
    bench.Run(kLossNoticed);
    CHECK(bench.has_left());
  }
}

// Without output, keep-alive probes tell.
TEST_CASE("caller session: a caller that is lost in a silence is noticed") {
  OneCaller bench;
  bench.Request()->Reply(200, {}, "first");
  bench.Run(milliseconds(1'500));
  const auto responder = bench.Request();
  bench.Run(milliseconds(500));
  REQUIRE(LosePackets(bench.caller().native_handle()));
  bench.Run(kLossNoticed);
  CHECK(bench.has_left());
}

TEST_CASE("caller session: an unread response ends with its request's time") {
  OneCaller bench;
  bench.time_limit() = Millis(3'000);
  bench.Request()->Reply(200, {}, std::string(kHugeBody, 'a'));
  bench.Run(milliseconds(2'800));
  CHECK(bench.settled().empty());
  bench.Run(milliseconds(1'500));
  CHECK(bench.settled() ==
        std::vector<std::string>{"the caller did not read it in time"});
  CHECK(bench.Read(kHugeBody) < kHugeBody);
}

// An answer at the end of its request's time was cut off if its caller's system
// had not confirmed it at the next inspection.
TEST_CASE("caller session: a response that comes late has time to be read") {
  OneCaller bench;
  bench.time_limit() = Millis(1'000);
  const auto responder = bench.Request();
  bench.Run(milliseconds(1'300));
  REQUIRE(LosePackets(bench.caller().native_handle()));
  responder->Reply(504, {}, "late");
  bench.Run(milliseconds(500));
  CHECK(bench.settled().empty());
  REQUIRE(ReceivePackets(bench.caller().native_handle()));
  bench.Run(milliseconds(1'500));
  CHECK(bench.settled() == std::vector<std::string>{"whole"});
}

// The caller reads on all the time, but slowly.
TEST_CASE("caller session: a response that is being read has time") {
  OneCaller bench;
  bench.time_limit() = Millis(500);
  bench.Request()->Reply(200, {}, std::string(kHugeBody, 'a'));
  size_t received = 0;
  for (int i = 0; i < 20; ++i) {
    received += bench.Read(kHugeBody / 40);
    bench.Run(milliseconds(100));
  }
  received += bench.Read(kHugeBody / 2);
  bench.Run(milliseconds(1'500));
  CHECK(received >= kHugeBody - 40);
  CHECK(bench.settled() == std::vector<std::string>{"whole"});
}

// The log named responses answered whose callers had got a reset.
TEST_CASE("caller session: a reset by the caller is told") {
  OneCaller bench;
  bench.Request()->Reply(200, {}, std::string(kLongBody, 'a'));
  bench.Run(milliseconds(300));
  CHECK(bench.settled().empty());
  bench.caller().close();
  bench.Run(milliseconds(500));
  CHECK(bench.settled() == std::vector<std::string>{"the connection broke"});
}

// A caller that sends nothing more was left to the system with its response.
TEST_CASE("caller session: a half-closed caller has time to read") {
  OneCaller bench;
  bench.Request()->Reply(200, {}, std::string(kLongBody, 'a'));
  bench.caller().shutdown(tcp::socket::shutdown_send);
  bench.Run(milliseconds(3'500));
  CHECK(bench.settled().empty());
  CHECK(bench.Read(kLongBody) == kLongBody);
  bench.Run(milliseconds(1'500));
  CHECK(bench.settled() == std::vector<std::string>{"whole"});
}

// While its caller didn't read, a stream's upstream was not read either, and
// servers cut off what stays unread for seconds.
TEST_CASE("caller session: a source goes on while there is memory to spare") {
  policy::BufferBudget budget{Bytes(8'000'000)};
  OneCaller bench(&budget);
  const auto responder = bench.Request();
  responder->BeginStream(200, {});
  const std::string part(100'000, 'a');
  for (int i = 0; i < 30; ++i) {
    CHECK(responder->Write(part));
    bench.Run(milliseconds(5));
  }
  // Others need the memory now.
  policy::BufferBudget::Account other(budget, policy::BufferUse::kRequest,
                                      [] {});
  other.SetSize(2'000'000);
  CHECK_FALSE(responder->Write(part));
  bench.Run(milliseconds(300));
  CHECK(bench.times_writable() == 0);
  other.SetSize(0);
  bench.Run(milliseconds(300));
  CHECK(bench.times_writable() == 1);
  CHECK(responder->Write(part));
}

// Samples as the system gives them, 200 ms apart.
TEST_CASE("peer silence: confirmed probes are no silence") {
  web::PeerSilence slow;
  web::PeerSilence lost;
  Millis now(50'000);
  const Millis step(200);
  int lost_after = 0;
  for (int i = 1; i <= 50; ++i) {
    now += step;
    // Each fifth sample meets a probe on its way, which is then confirmed.
    const bool has_probe = i % 5 == 0;
    CHECK_FALSE(slow.Observe(
        {100, has_probe ? 1 : 0, has_probe ? step * 4 : step}, now));
    if (lost.Observe({100, i, step * i}, now) && lost_after == 0) {
      lost_after = i;
    }
  }
  CHECK(step * lost_after >= Millis(2'400));
  CHECK(step * lost_after <= Millis(2'600));
}

TEST_CASE("peer silence: a suspension of the process is no silence") {
  web::PeerSilence silence;
  CHECK_FALSE(silence.Observe({100, 1, Millis(200)}, Millis(50'000)));
  CHECK_FALSE(silence.Observe({100, 2, Millis(5'200)}, Millis(55'000)));
  CHECK_FALSE(silence.Observe({100, 2, Millis(5'400)}, Millis(55'200)));
}

// A listener of two sessions whose requests are answered at once.
class SmallListener {
 public:
  explicit SmallListener(web::SessionHooks hooks = {})
      : listener_(io_, Complete(std::move(hooks)), 2) {
    REQUIRE(listener_.Start(address_).ok());
  }

  // Connects and sends. The session is accepted before the next one.
  tcp::socket Open(const std::string& text) {
    tcp::socket caller(callers_);
    caller.connect(address_);
    boost::asio::write(caller, boost::asio::buffer(text));
    Run(milliseconds(30));
    return caller;
  }
  void Run(milliseconds time) {
    io_.restart();
    io_.run_for(time);
  }
  // @return what has arrived up to now or to the end of the connection.
  static std::string Read(tcp::socket& caller) {
    std::string text;
    std::array<char, 65'536> buffer{};
    boost::system::error_code error;
    caller.non_blocking(true);
    while (!error) {
      const size_t count = caller.read_some(boost::asio::buffer(buffer), error);
      text.append(buffer.data(), count);
    }
    return error == boost::asio::error::would_block ? text : text + "|";
  }

  std::vector<policy::SessionWait> gave_way_;
  size_t body_ = 0;  // of the last request

 private:
  web::SessionHooks Complete(web::SessionHooks hooks) {
    hooks.limits_ = [] {
      return web::SessionLimits{Bytes(16'384), Bytes(4'194'304), Millis(5'000),
                                Millis(5'000)};
    };
    hooks.on_request_ = [this](
                            const web::IncomingRequest& request,
                            const std::shared_ptr<web::Responder>& responder) {
      body_ = request.body_.size();
      const bool is_long = request.target_ == "/long";
      responder->Reply(200, {}, std::string(is_long ? 4'000'000 : 2, 'r'));
      return web::CallerHooks();
    };
    hooks.on_refused_ = [](int /*status*/, const std::string& /*reason*/) {};
    hooks.on_gave_way_ = [this](policy::SessionWait wait) {
      gave_way_.push_back(wait);
    };
    hooks.stopping_ = [] { return false; };
    return hooks;
  }

  boost::asio::io_context io_;
  boost::asio::io_context callers_;
  const tcp::endpoint address_{boost::asio::ip::make_address("127.0.0.1"),
                               tests::FreePort()};
  web::Listener listener_;
};

constexpr char kHalfHead[] = "GET / HTTP/1.1\r\nHost: h";
constexpr char kHalfBody[] =
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab";

// Half a header kept a session until its timeout, and probes waited.
TEST_CASE("listener: unfinished requests give way where others wait") {
  SmallListener bench;
  auto head = bench.Open(kHalfHead);
  auto body = bench.Open(kHalfBody);
  std::vector<tcp::socket> probes;
  for (int i = 0; i < 3; ++i) {
    probes.push_back(bench.Open(kRequest));
    const std::string answer = SmallListener::Read(probes.back());
    CHECK(answer.rfind("HTTP/1.1 200", 0) == 0);
  }
  // The first probe's response ended its connection, which gave way to the
  // third.
  CHECK(bench.gave_way_ == std::vector<policy::SessionWait>(
                               3, policy::SessionWait::kRestOfRequest));
  // They have not run.
  CHECK(SmallListener::Read(head).rfind("HTTP/1.1 503", 0) == 0);
  CHECK(SmallListener::Read(body).rfind("HTTP/1.1 503", 0) == 0);
}

// Clients that didn't read their responses kept all sessions.
TEST_CASE("listener: a response that nobody reads gives way") {
  SmallListener bench;
  constexpr char kLong[] = "GET /long HTTP/1.1\r\nHost: h\r\n\r\n";
  auto first = bench.Open(kLong);
  auto second = bench.Open(kLong);
  auto probe = bench.Open(kRequest);
  CHECK(SmallListener::Read(probe).empty());
  bench.Run(milliseconds{policy::kMinUnreadTime.count() + 100});
  CHECK(SmallListener::Read(probe).rfind("HTTP/1.1 200", 0) == 0);
  CHECK(bench.gave_way_ == std::vector{policy::SessionWait::kReadResponse});
}

// Below the limit of sessions nobody gives way, however slow.
TEST_CASE("listener: a slow request is served where nobody waits") {
  SmallListener bench;
  auto slow = bench.Open(kHalfBody);
  auto probe = bench.Open(kRequest);
  boost::asio::write(slow, boost::asio::buffer(std::string("cdefghi")));
  bench.Run(milliseconds(30));
  CHECK(SmallListener::Read(slow).rfind("HTTP/1.1 200", 0) == 0);
  CHECK(bench.gave_way_.empty());
}

// Two hundred bodies for the readiness probe took the memory of the machine.
TEST_CASE("listener: a body that no request needs is dropped") {
  policy::BufferBudget budget{Bytes(500'000)};
  web::SessionHooks hooks;
  hooks.buffers_ = &budget;
  hooks.drops_bodies_ = true;
  SmallListener bench(hooks);
  for (const char* framing : {"Content-Length: 4194304\r\n\r\n",
                              "Transfer-Encoding: chunked\r\n\r\n"}) {
    CAPTURE(framing);
    auto caller =
        bench.Open(std::string("POST / HTTP/1.1\r\nHost: h\r\n") + framing);
    const bool is_chunked =
        std::string(framing).find("chunked") != std::string::npos;
    const std::string part =
        is_chunked ? "10000\r\n" + std::string(65'536, 'b') + "\r\n"
                   : std::string(65'536, 'b');
    for (int i = 0; i < 64; ++i) {
      boost::asio::write(caller, boost::asio::buffer(part));
      bench.Run(milliseconds(5));
      CHECK(budget.held() < 200'000);
    }
    if (is_chunked) {
      boost::asio::write(caller, boost::asio::buffer(std::string("0\r\n\r\n")));
    }
    bench.Run(milliseconds(30));
    CHECK(SmallListener::Read(caller).rfind("HTTP/1.1 200", 0) == 0);
    CHECK(bench.body_ == 0);
  }
}

// Four bytes of a field take about a hundred in the parser.
TEST_CASE("listener: short fields count with the memory that they take") {
  policy::BufferBudget budget{Bytes(10'000'000)};
  web::SessionHooks hooks;
  hooks.buffers_ = &budget;
  SmallListener bench(hooks);
  std::string request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n";
  constexpr size_t kFields = 4'000;
  for (size_t i = 0; i < kFields; ++i) {
    request += "a:\r\n";
  }
  auto caller = bench.Open(request + "\r\n");
  CHECK(budget.held() > kFields * 80);
  boost::asio::write(caller, boost::asio::buffer(std::string("abcde")));
  bench.Run(milliseconds(30));
  CHECK(SmallListener::Read(caller).rfind("HTTP/1.1 200", 0) == 0);
  CHECK(budget.held() < 1'000);
}

// What the system holds counts towards the memory of the machine.
TEST_CASE("listener: unread requests and responses in the system count") {
  policy::BufferBudget budget{Bytes(10'000'000)};
  web::SessionHooks hooks;
  hooks.buffers_ = &budget;
  SmallListener bench(hooks);
  auto caller = bench.Open("GET /long HTTP/1.1\r\nHost: h\r\n\r\n");
  boost::asio::write(caller, boost::asio::buffer(std::string(30'000, 'x')));
  bench.Run(milliseconds(10));
  const size_t counted = budget.held();
  bench.Run(milliseconds{web::kInspectInterval.count() + 50});
  CHECK(budget.held() > counted + 60'000);
}

}  // namespace
}  // namespace bergamotscale::testing
