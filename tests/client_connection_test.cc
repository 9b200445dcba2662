// Tests what a connection tells of upstreams that stop reading.
#include "src/web/client_connection.h"

#include <atomic>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include <doctest/doctest.h>
#include <boost/asio/io_context.hpp>

#include "tests/support/raw_server.h"
#include "tests/support/silent_socket.h"

namespace bergamotscale::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using tests::RawServer;

// More than the buffers of both sides hold.
constexpr size_t kUpload = 12'000'000;
constexpr milliseconds kLossNoticed{4'000};

struct Outcome {
  web::CallResult end_;
  milliseconds took_{0};
};

// Sends an upload and waits for the end of its response.
Outcome Upload(const RawServer& server, size_t size = kUpload) {
  boost::asio::io_context io;
  const std::string url = server.url();
  const auto port =
      static_cast<uint16_t>(std::stoi(url.substr(url.rfind(':') + 1)));
  web::ClientConnection connection(
      io, {boost::asio::ip::address_v4::loopback(), port});
  std::optional<Outcome> outcome;
  const auto began = steady_clock::now();
  connection.Connect(
      Millis(1'000), [&](const boost::system::error_code& failed) {
        REQUIRE_FALSE(failed);
        web::OutgoingRequest request;
        request.method_ = "POST";
        request.headers_.Add("Host", "h");
        request.body_ = std::string(size, 'u');
        web::ResponseHooks hooks;
        hooks.on_head_ = [](const web::ResponseHead&) {};
        hooks.on_body_ = [](const std::string&) { return true; };
        hooks.on_end_ = [&](const web::CallResult& end) {
          outcome = Outcome{end, std::chrono::duration_cast<milliseconds>(
                                     steady_clock::now() - began)};
          io.stop();
        };
        connection.Send(std::move(request), std::move(hooks));
      });
  io.run_for(std::chrono::seconds(12));
  REQUIRE(outcome.has_value());
  return *outcome;
}

// Reads the rest of an upload after a pause, and answers.
RawServer::Answer ReadAfter(milliseconds pause) {
  return [pause](int, const std::string& request, RawServer::Socket& socket) {
    std::this_thread::sleep_for(pause);
    tests::ReadBody(request, socket, kUpload);
    boost::system::error_code error;
    boost::asio::write(socket,
                       boost::asio::buffer(std::string(
                           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")),
                       error);
    return true;
  };
}

// An engine that stopped reading an upload for some seconds lost the request.
TEST_CASE("client connection: an upstream that stops reading is awaited") {
  RawServer server(ReadAfter(milliseconds(4'500)));
  const Outcome outcome = Upload(server);
  CHECK(outcome.end_.complete_);
  CHECK(outcome.took_ >= milliseconds(4'500));
}

// The log named the end of the input in place of the time-out.
TEST_CASE("client connection: an upstream that is lost is a time-out") {
  for (const int stop_ms : {0, 700, 3'500}) {
    CAPTURE(stop_ms);
    std::atomic<bool> done{false};
    RawServer server([&](int, const std::string&, RawServer::Socket& socket) {
      // Its window is closed by then.
      std::this_thread::sleep_for(milliseconds(stop_ms));
      CHECK(LosePackets(socket.native_handle()));
      while (!done) {
        std::this_thread::sleep_for(milliseconds(1));
      }
      return false;
    });
    const Outcome outcome = Upload(server);
    done = true;
    CHECK_FALSE(outcome.end_.complete_);
    CHECK(outcome.end_.error_ == boost::asio::error::timed_out);
    CHECK(outcome.took_ < milliseconds(stop_ms) + kLossNoticed);
  }
}

// Nothing is outstanding then, so that keep-alive probes tell.
TEST_CASE("client connection: an upstream that is lost at work is noticed") {
  std::atomic<bool> done{false};
  RawServer server([&](int, const std::string&, RawServer::Socket& socket) {
    std::this_thread::sleep_for(milliseconds(1'000));
    CHECK(LosePackets(socket.native_handle()));
    while (!done) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    return false;
  });
  const Outcome outcome = Upload(server, 100);
  done = true;
  CHECK_FALSE(outcome.end_.complete_);
  CHECK(outcome.end_.error_ == boost::asio::error::timed_out);
  CHECK(outcome.took_ < milliseconds(1'000) + kLossNoticed);
}

}  // namespace
}  // namespace bergamotscale::testing
