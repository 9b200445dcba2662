#include "src/http/single_use_call.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <chrono>

#include <boost/asio/ip/tcp.hpp>

namespace bergamotscale::http {
namespace {

using boost::asio::ip::tcp;

constexpr char kPlainScheme[] = "http";
// TCP keepalive probes, which the kernel sends on an idle connection.
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
// The kernel closes a connection if the peer acknowledges nothing for this
// long. It checks only when a probe is due, so the connection is closed 2 s
// after the last packet received.
constexpr int kUserTimeoutMillis = 1800;

template <int kName>
using TcpOption =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, kName>;

// Makes the kernel detect a connection that was lost between the hosts. The
// peer's kernel answers the probes, so a busy or stopped peer is not detected.
void EnableKeepAlive(tcp::socket& socket, const tcp& protocol) {
  boost::system::error_code ignored;
  // The library passes the socket before opening it, and does not open it again
  // if it is already open.
  if (!socket.is_open()) {
    socket.open(protocol, ignored);
  }
  socket.set_option(tcp::socket::keep_alive(true), ignored);
  socket.set_option(TcpOption<TCP_KEEPIDLE>(kProbeIdleSeconds), ignored);
  socket.set_option(TcpOption<TCP_KEEPINTVL>(kProbeIntervalSeconds), ignored);
  socket.set_option(TcpOption<TCP_USER_TIMEOUT>(kUserTimeoutMillis), ignored);
}

}  // namespace

web::http::client::http_client_config SingleUseConfig(const Call& call) {
  web::http::client::http_client_config config;
  config.set_timeout(std::chrono::milliseconds(call.timeout_.count()));
  config.set_max_redirects(0);
  const web::uri uri(call.url_);
  boost::system::error_code not_a_number;
  const auto address = boost::asio::ip::make_address(uri.host(), not_a_number);
  if (uri.scheme() == kPlainScheme && !not_a_number) {
    const tcp protocol = address.is_v4() ? tcp::v4() : tcp::v6();
    config.set_nativehandle_options(
        [protocol](web::http::client::native_handle socket) {
          EnableKeepAlive(*static_cast<tcp::socket*>(socket), protocol);
        });
  }
  return config;
}

web::http::http_request SingleUseRequest(const Call& call,
                                         const web::uri& uri) {
  web::http::http_request request(call.method_);
  request.set_request_uri(uri.resource());
  // Tells the peer not to wait for another request on the connection.
  request.headers().add("Connection", "close");
  for (const Header& header : call.headers_) {
    request.headers().add(header.name_, header.value_);
  }
  if (!call.body_.empty()) {
    request.set_body(call.body_, call.content_type_);
  }
  return request;
}

Error ErrorOfFailure(const web::http::http_exception& failure) {
  const std::error_code code = failure.error_code();
  const bool not_sent = code == std::errc::host_unreachable ||
                        code == std::errc::connection_refused;
  return Error(
      not_sent ? ErrorCode::kUpstreamUnreachable : ErrorCode::kUpstreamFailed,
      failure.what());
}

}  // namespace bergamotscale::http
