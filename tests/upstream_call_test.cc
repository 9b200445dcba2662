#include <chrono>
#include <memory>
#include <optional>

#include <cpprest/http_client.h>
#include <doctest/doctest.h>

#include "src/http/client.h"
#include "src/sidecar/event_reader.h"
#include "src/sidecar/io_thread.h"
#include "src/sidecar/upstream_call.h"
#include "tests/support/raw_server.h"
#include "tests/support/silent_socket.h"

namespace bergamotscale::sidecar {
namespace {

using tests::RawServer;

constexpr char kCompleteResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr char kStreamResponseStart[] =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n";

void Write(RawServer::Socket& socket, const std::string& text) {
  boost::system::error_code ignored;
  boost::asio::write(socket, boost::asio::buffer(text), ignored);
}

// Responds to the first request; closes later ones before a status line.
bool AnswerFirst(int number, const std::string&, RawServer::Socket& socket) {
  if (number > 1) {
    return false;
  }
  Write(socket, kCompleteResponse);
  return true;
}

int CountRequests(const RawServer& server, const std::string& path) {
  int count = 0;
  for (const std::string& request : server.requests()) {
    count += request.find(path) != std::string::npos ? 1 : 0;
  }
  return count;
}

// Runs one call and waits for its end.
class Caller {
 public:
  Status Run(const std::string& url, const std::string& body = {}) {
    http::Call call;
    call.body_ = body;
    call.method_ = "POST";
    call.url_ = url;
    call.timeout_ = Millis(30000);
    UpstreamHooks hooks;
    hooks.on_head_ = [](const UpstreamHead&) {};
    hooks.on_data_ = [this](std::string_view data) {
      data_ += data;
      if (cancel_on_data_) {
        call_->Cancel();
        io_.stop();
      }
    };
    hooks.on_end_ = [this](const Status& status) {
      end_ = status;
      io_.stop();
    };
    const auto guard = boost::asio::make_work_guard(io_);
    call_ = std::make_unique<UpstreamCall>(io_, call, hooks);
    io_.run_for(std::chrono::seconds(5));
    return end_.value_or(Error(ErrorCode::kCancelled));
  }

  std::string data_;
  bool cancel_on_data_ = false;

 private:
  boost::asio::io_context& io_ = MakeIoContext();
  std::unique_ptr<UpstreamCall> call_;
  std::optional<Status> end_;
};

}  // namespace

TEST_CASE("upstream call: the HTTP library resends on a reused connection") {
  RawServer server(AnswerFirst);
  web::http::client::http_client client(server.url());
  client.request(web::http::methods::POST, "/warm").get().content_ready().get();
  // The library returns a connection to its pool shortly after the response.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  try {
    client.request(web::http::methods::POST, "/order-1").get();
  } catch (const std::exception&) {
  }
  CHECK(CountRequests(server, "/order-1") == 2);
}

TEST_CASE("upstream call: a request is sent once when the peer closes early") {
  RawServer server(
      [](int, const std::string&, RawServer::Socket&) { return false; });
  const Status status = Caller().Run(server.url() + "/order-1");
  REQUIRE(!status.ok());
  CHECK(status.error().code_ == ErrorCode::kUpstreamFailed);
  CHECK(CountRequests(server, "/order-1") == 1);
}

TEST_CASE("upstream call: calls share no connection") {
  RawServer server([](int, const std::string&, RawServer::Socket& socket) {
    Write(socket, kCompleteResponse);
    return true;
  });
  CHECK(Caller().Run(server.url() + "/a").ok());
  RawServer closing(AnswerFirst);
  CHECK(Caller().Run(closing.url() + "/a").ok());
  CHECK(!Caller().Run(closing.url() + "/order-1").ok());
  CHECK(CountRequests(closing, "/order-1") == 1);
}

TEST_CASE("upstream call: no redirect is followed") {
  RawServer server([](int, const std::string&, RawServer::Socket& socket) {
    Write(socket,
          "HTTP/1.1 307 Temporary Redirect\r\nLocation: /again\r\n"
          "Content-Length: 0\r\n\r\n");
    return true;
  });
  CHECK(Caller().Run(server.url() + "/order-1").ok());
  CHECK(server.requests().size() == 1);
}

TEST_CASE("upstream call: refused connections prove that nothing was sent") {
  const Status status = Caller().Run("http://127.0.0.1:1/");
  REQUIRE(!status.ok());
  CHECK(status.error().code_ == ErrorCode::kUpstreamUnreachable);
}

TEST_CASE("upstream call: data arrives before the end; a broken stream fails") {
  RawServer server([](int, const std::string&, RawServer::Socket& socket) {
    Write(socket, kStreamResponseStart);
    return false;
  });
  Caller caller;
  const Status status = caller.Run(server.url() + "/");
  CHECK(caller.data_ == "data: a\n\n");
  REQUIRE(!status.ok());
  CHECK(status.error().code_ == ErrorCode::kUpstreamFailed);
}

TEST_CASE("upstream call: cancelling closes the connection at once") {
  std::atomic<bool> closed{false};
  RawServer server(
      [&closed](int, const std::string&, RawServer::Socket& socket) {
        Write(socket, kStreamResponseStart);
        char byte = 0;
        boost::system::error_code error;
        boost::asio::read(socket, boost::asio::buffer(&byte, 1), error);
        closed = static_cast<bool>(error);
        return false;
      });
  Caller caller;
  caller.cancel_on_data_ = true;
  const auto start = std::chrono::steady_clock::now();
  caller.Run(server.url() + "/");
  while (!closed &&
         std::chrono::steady_clock::now() - start < std::chrono::seconds(1)) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  CHECK(closed);
}

// Runs a call whose connection loses all packets after the request and
// `answer_start`.
Status RunCallWithLostConnection(const std::string& answer_start) {
  std::atomic<bool> done{false};
  RawServer server([&](int, const std::string&, RawServer::Socket& socket) {
    Write(socket, answer_start);
    // Waits until the sent data has been acknowledged.
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK(testing::LosePackets(socket.native_handle()));
    while (!done) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return false;
  });
  Caller caller;
  Status status = caller.Run(server.url() + "/order-1");
  done = true;
  CHECK(CountRequests(server, "/order-1") == 1);
  return status;
}

TEST_CASE("upstream call: a lost connection is noticed within 3 s") {
  for (const char* answer_start : {"", kStreamResponseStart}) {
    const auto start = std::chrono::steady_clock::now();
    const Status status = RunCallWithLostConnection(answer_start);
    const auto took = std::chrono::steady_clock::now() - start;
    REQUIRE(!status.ok());
    CHECK(status.error().code_ == ErrorCode::kLinkTimeout);
    CHECK(took < std::chrono::seconds(3));
  }
}

// The system ends a connection whose window stays closed for 1.8 s.
TEST_CASE("upstream call: an upstream that stops reading is awaited") {
  constexpr size_t kUpload = size_t{12} << 20;
  RawServer server(
      [](int, const std::string& request, RawServer::Socket& socket) {
        std::this_thread::sleep_for(std::chrono::milliseconds(3'500));
        tests::ReadBody(request, socket, kUpload);
        Write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        return false;
      });
  CHECK(Caller().Run(server.url(), std::string(kUpload, 'u')).ok());
}

// An answer that is reset during the upload must not look whole.
TEST_CASE("upstream call: a reset during the upload completes no response") {
  constexpr size_t kUpload = size_t{32} << 20;
  RawServer server([](int, const std::string&, RawServer::Socket& socket) {
    Write(socket, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart");
    // Unread input makes the close a reset.
    return false;
  });
  for (int i = 0; i < 10; ++i) {
    CHECK_FALSE(Caller().Run(server.url(), std::string(kUpload, 'u')).ok());
  }
}

// A plain service's status is passed on to the caller, who got 000 and 999 as
// answers.
TEST_CASE("upstream call: a status that is none of HTTP is no response") {
  for (const char* status : {"000", "042", "600", "999"}) {
    const std::string text = status;
    CAPTURE(text);
    RawServer server(
        [status](int, const std::string&, RawServer::Socket& socket) {
          Write(socket, std::string("HTTP/1.1 ") + status +
                            " Odd\r\nContent-Length: 2\r\n\r\nok");
          return false;
        });
    Caller caller;
    const Status end = caller.Run(server.url());
    REQUIRE_FALSE(end.ok());
    CHECK(end.error().code_ == ErrorCode::kUpstreamFailed);
  }
}

TEST_CASE("upstream call: a slow response on a live connection is awaited") {
  RawServer server([](int, const std::string&, RawServer::Socket& socket) {
    std::this_thread::sleep_for(std::chrono::milliseconds(4500));
    Write(socket, kCompleteResponse);
    return false;
  });
  CHECK(Caller().Run(server.url() + "/").ok());
}

TEST_CASE("event reader: any split of the stream gives the same events") {
  const std::string stream =
      "data: a\n\n: comment\r\ndata: b\r\n\r\nevent: x\ndata: c\ndata:d\n\n";
  for (size_t cut = 1; cut < stream.size(); ++cut) {
    std::string events;
    EventReader reader(Bytes(100), [&events](const std::string& data) {
      events += "[" + data + "]";
    });
    CHECK(reader.Feed(stream.substr(0, cut)).ok());
    CHECK(reader.Feed(stream.substr(cut)).ok());
    CHECK(events == "[a][b][c\nd]");
  }
}

TEST_CASE("event reader: an event over the size limit is rejected") {
  EventReader reader(Bytes(10), [](const std::string&) {});
  CHECK(!reader.Feed("data: 0123456789").ok());
}

}  // namespace bergamotscale::sidecar
