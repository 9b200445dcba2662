// Tests what a sidecar concludes from its probes of the upstream.
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <doctest/doctest.h>
#include <boost/asio.hpp>

#include "src/sidecar/upstream_monitor.h"

namespace bergamotscale::sidecar {
namespace {

using boost::asio::ip::tcp;

// Accepts one connection, reads its request and loses it without a response.
class LosingServer {
 public:
  // @param exit_after closes the listening socket this long after the
  // connection, as a killed process does.
  explicit LosingServer(std::chrono::milliseconds exit_after)
      : acceptor_(std::in_place,
                  io_,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        url_("http://127.0.0.1:" +
             std::to_string(acceptor_->local_endpoint().port())),
        thread_([this, exit_after] {
          LoseConnection();
          std::this_thread::sleep_for(exit_after);
          acceptor_.reset();
        }) {}
  ~LosingServer() { thread_.join(); }

  const std::string& url() const { return url_; }

 private:
  void LoseConnection() {
    boost::system::error_code ignored;
    tcp::socket socket(io_);
    acceptor_->accept(socket, ignored);
    boost::asio::streambuf request;
    boost::asio::read_until(socket, request, "\r\n\r\n", ignored);
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  }

  boost::asio::io_context io_;
  std::optional<tcp::acceptor> acceptor_;
  std::string url_;
  std::thread thread_;
};

UpstreamState ProbeOnce(const std::string& url) {
  boost::asio::io_context io;
  auto state = UpstreamState::kUp;
  UpstreamMonitor monitor(io, GroupKind::kEngine, url, Millis(60'000),
                          [](const UpstreamReport&) {});
  bool done = false;
  auto work = boost::asio::make_work_guard(io);
  monitor.Probe([&](const UpstreamReport& report) {
    state = report.state_;
    done = true;
    work.reset();
  });
  io.run_for(std::chrono::seconds(5));
  CHECK(done);
  return state;
}

// A killed engine's connections closed before its listening socket: the probe
// was accepted and lost, and the crash was taken for silence.
TEST_CASE("upstream monitor: a probe that the upstream's end cuts off") {
  const LosingServer server(std::chrono::milliseconds(10));
  CHECK(ProbeOnce(server.url()) == UpstreamState::kUnreachable);
}

}  // namespace
}  // namespace bergamotscale::sidecar
