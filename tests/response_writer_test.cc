// Tests that ResponseWriter releases the connection of an abandoned response.
// If it did not, the listener could never close.
#include <future>
#include <memory>
#include <string>
#include <thread>

#include <doctest/doctest.h>
#include <boost/asio.hpp>

#include "src/entry/response_writer.h"
#include "src/http/listener.h"
#include "tests/support/free_port.h"

namespace bergamotscale::entry {
namespace {

using boost::asio::ip::tcp;

constexpr auto kCloseTimeout = std::chrono::seconds(3);
constexpr char kRequest[] = "GET /answer HTTP/1.1\r\nHost: x\r\n\r\n";

// A listener with one route, which passes its ResponseWriter to the test, and a
// client.
class Exchange {
 public:
  Exchange() : listener_("127.0.0.1", port_) {
    listener_.Route("GET", "/answer", [this](web::http::http_request request) {
      writer_promise_.set_value(std::make_unique<ResponseWriter>(
          request, RequestId("r-1"), ModelId("m"), [] {}));
    });
  }

  bool Open() { return listener_.Open().ok(); }

  // Sends the request on a connection that stays open.
  std::unique_ptr<ResponseWriter> SendRequest() {
    socket_.connect(
        tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port_));
    boost::asio::write(socket_, boost::asio::buffer(std::string(kRequest)));
    return writer_promise_.get_future().get();
  }

  // Blocks until a text is received. @return the bytes received, which include
  // the text.
  std::string ReadUntil(const std::string& text) {
    std::string read;
    boost::asio::read_until(socket_, boost::asio::dynamic_buffer(read), text);
    return read;
  }

  void Disconnect() { socket_.close(); }

  // @return whether the listener closes in time. If not, the detached thread
  // keeps waiting for it.
  bool Closes() {
    auto closed = std::make_shared<std::promise<void>>();
    std::future<void> future = closed->get_future();
    std::thread([this, closed] {
      listener_.Close();
      closed->set_value();
    }).detach();
    return future.wait_for(kCloseTimeout) == std::future_status::ready;
  }

 private:
  const uint16_t port_ = testing::FreePort();
  std::promise<std::unique_ptr<ResponseWriter>> writer_promise_;
  boost::asio::io_context io_;
  tcp::socket socket_{io_};
  http::Listener listener_;
};

enum class Caller { kStays, kLeaves };

// Abandons a response after some chunks and closes the listener. If the
// listener doesn't close, the exchange is leaked, because a thread still uses
// it.
// @return whether the listener closed.
bool ClosesAfterAbandonment(Caller caller, int chunks) {
  auto* exchange = new Exchange();
  REQUIRE(exchange->Open());
  std::unique_ptr<ResponseWriter> writer = exchange->SendRequest();
  for (int i = 0; i < chunks; ++i) {
    writer->WriteChunk("a");
  }
  if (caller == Caller::kLeaves) {
    exchange->Disconnect();
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  writer.reset();
  const bool closes = exchange->Closes();
  if (closes) {
    delete exchange;
  }
  return closes;
}

TEST_CASE("response writer: each chunk is one event of JSON") {
  Exchange exchange;
  REQUIRE(exchange.Open());
  const std::unique_ptr<ResponseWriter> writer = exchange.SendRequest();
  writer->WriteChunk("a \"quoted\" line\n");
  writer->WriteChunk("not UTF-8: \xff");
  const std::string start = R"(data: {"choices":[{"delta":{"content":")";
  const std::string end =
      R"("},"finish_reason":null,"index":0}],"id":"r-1","model":"m",)"
      R"("object":"chat.completion.chunk"})"
      "\n\n";
  const std::string answer = exchange.ReadUntil("\uFFFD" + end);
  CHECK(answer.find(start + R"(a \"quoted\" line\n)" + end) !=
        std::string::npos);
  CHECK(answer.find(start + "not UTF-8: \uFFFD" + end) != std::string::npos);
}

TEST_CASE("response writer: an abandoned stream lets the listener close") {
  CHECK(ClosesAfterAbandonment(Caller::kStays, 1));
  CHECK(ClosesAfterAbandonment(Caller::kLeaves, 1));
  CHECK(ClosesAfterAbandonment(Caller::kLeaves, 100));
}

TEST_CASE(
    "response writer: an answer that never began lets the listener close") {
  CHECK(ClosesAfterAbandonment(Caller::kStays, 0));
  CHECK(ClosesAfterAbandonment(Caller::kLeaves, 0));
}

}  // namespace
}  // namespace bergamotscale::entry
