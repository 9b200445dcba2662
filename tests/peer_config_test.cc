#include "src/gateway/peer_config.h"

#include <fcntl.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include <doctest/doctest.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/web/listener.h"
#include "tests/support/free_port.h"

namespace bergamotscale::gateway {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

tcp::endpoint AtPort(uint16_t port) {
  return {boost::asio::ip::make_address("127.0.0.1"), port};
}

// A peer that answers, and the reader of another gateway.
struct PeerConfigBench {
  boost::asio::io_context io_;
  const Clock boot_ = Clock::Boot();
  DecisionLog log_{open("/dev/null", O_WRONLY | O_CLOEXEC), Clock::Wall()};
  ControlState state_;
  web::Listener listener_{io_, Hooks(), 10};
  const tcp::endpoint peer_ = AtPort(testing::FreePort());
  std::string read_;
  Millis as_of_;
  PeerConfigReader reader_{io_, boot_, &log_, ReaderHooks()};
  boost::asio::steady_timer timer_{io_};

  web::SessionHooks Hooks() {
    web::SessionHooks hooks;
    hooks.limits_ = [] {
      return web::SessionLimits{Bytes(8'192), Bytes(8'192), Millis(5'000),
                                Millis(5'000)};
    };
    hooks.on_request_ = [this](
                            const web::IncomingRequest& call,
                            const std::shared_ptr<web::Responder>& responder) {
      AnswerPeerConfig(state_, boot_.Now(), call.target_, *responder);
      return web::CallerHooks();
    };
    hooks.on_refused_ = [](int /*status*/, const std::string& /*reason*/) {};
    hooks.stopping_ = [] { return false; };
    return hooks;
  }

  PeerConfigHooks ReaderHooks() {
    PeerConfigHooks hooks;
    hooks.own_version_ = [] { return 5; };
    hooks.on_config_ = [this](const std::string& document, Millis as_of) {
      read_ = document;
      as_of_ = as_of;
      io_.stop();
    };
    return hooks;
  }

  // The peer tells this version again and again, until it is read.
  void TellVersion(int64_t version) {
    reader_.OnPeerVersion(peer_, version);
    timer_.expires_after(milliseconds(25));
    timer_.async_wait([this, version](const boost::system::error_code& error) {
      if (!error) {
        TellVersion(version);
      }
    });
  }
};

TEST_CASE("peer config: it comes with the age that it has at the peer") {
  PeerConfigBench bench;
  REQUIRE(bench.listener_.Start(bench.peer_).ok());
  bench.state_.document_.Write(std::string("document"));
  const Millis confirmed = bench.boot_.Now() - Millis(700);
  bench.state_.table_as_of_ = confirmed.count();
  bench.TellVersion(6);
  bench.io_.run_for(milliseconds(3'000));
  CHECK(bench.read_ == "document");
  CHECK(bench.as_of_ <= confirmed);
  CHECK(bench.as_of_ > confirmed - Millis(500));
}

// A gateway asked one that was gone again and again.
TEST_CASE("peer config: a peer that doesn't answer hides no other one") {
  PeerConfigBench bench;
  bench.state_.document_.Write(std::string("document"));
  bench.reader_.OnPeerVersion(AtPort(testing::FreePort()), 7);
  REQUIRE(bench.listener_.Start(bench.peer_).ok());
  bench.TellVersion(6);
  bench.io_.run_for(milliseconds(4'000));
  CHECK(bench.read_ == "document");
}

}  // namespace
}  // namespace bergamotscale::gateway
