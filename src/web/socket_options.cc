#include "src/web/socket_options.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <boost/asio/socket_base.hpp>

namespace bergamotscale::web {
namespace {

// Longer than the longest interruption from which a path recovers by
// retransmission. Callers time out on a silent stream after two seconds.
constexpr int kUserTimeoutMs = 2'500;
// A dead peer is noticed after the idle time plus this many probes.
constexpr int kKeepIdleSeconds = 1;
constexpr int kKeepIntervalSeconds = 1;
constexpr int kKeepProbes = 3;
// Without TCP_USER_TIMEOUT, which ends the connection one probe earlier.
constexpr int kKeepProbesAlone = 2;
// TCP_RTO_MAX_MS, which the headers of Debian 12 don't have. Systems before
// Linux 6.15 ignore it and repeat probes of a closed window at growing
// intervals.
constexpr int kRetransmissionLimitOption = 44;
constexpr int kMaxRetransmissionMs = 1'000;

// If it can't be set, the default of the system applies.
void SetTcpOption(int fd, int option, int value) {
  setsockopt(fd, IPPROTO_TCP, option, &value, sizeof(value));
}

}  // namespace

void SetConnectionOptions(boost::asio::ip::tcp::socket& socket, Bytes buffer) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  const int size = static_cast<int>(buffer.count());
  socket.set_option(boost::asio::socket_base::send_buffer_size(size), ignored);
  socket.set_option(boost::asio::socket_base::receive_buffer_size(size),
                    ignored);
  const int fd = socket.native_handle();
  SetTcpOption(fd, TCP_USER_TIMEOUT, kUserTimeoutMs);
  SetTcpOption(fd, TCP_KEEPIDLE, kKeepIdleSeconds);
  SetTcpOption(fd, TCP_KEEPINTVL, kKeepIntervalSeconds);
  SetTcpOption(fd, TCP_KEEPCNT, kKeepProbes);
}

void AllowClosedWindow(boost::asio::ip::tcp::socket& socket) {
  const int fd = socket.native_handle();
  SetTcpOption(fd, TCP_USER_TIMEOUT, 0);
  SetTcpOption(fd, TCP_KEEPCNT, kKeepProbesAlone);
  SetTcpOption(fd, kRetransmissionLimitOption, kMaxRetransmissionMs);
}

size_t UnreadInput(const boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code error;
  return socket.available(error);
}

size_t UnconfirmedOutput(boost::asio::ip::tcp::socket& socket) {
  int bytes = 0;
  return ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0
             ? static_cast<size_t>(bytes)
             : 0;
}

}  // namespace bergamotscale::web
