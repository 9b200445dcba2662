#include "src/web/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/socket_base.hpp>

namespace bergamotscale::web {
namespace {

// Longer than the longest interruption from which a path recovers by
// retransmission. Callers time out on a silent stream after two seconds.
constexpr unsigned kUserTimeoutMs = 2'500;
// A dead peer is noticed after the idle time plus this many probes.
constexpr int kKeepIdleSeconds = 1;
constexpr int kKeepIntervalSeconds = 1;
constexpr int kKeepProbes = 3;

}  // namespace

void SetConnectionOptions(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  constexpr int kBuffer = static_cast<int>(kMaxSystemBuffer.count());
  socket.set_option(boost::asio::socket_base::send_buffer_size(kBuffer),
                    ignored);
  socket.set_option(boost::asio::socket_base::receive_buffer_size(kBuffer),
                    ignored);
  const int fd = socket.native_handle();
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs,
             sizeof(kUserTimeoutMs));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepIdleSeconds,
             sizeof(kKeepIdleSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepIntervalSeconds,
             sizeof(kKeepIntervalSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kKeepProbes, sizeof(kKeepProbes));
}

}  // namespace bergamotscale::web
