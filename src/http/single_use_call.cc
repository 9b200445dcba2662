#include "src/http/single_use_call.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <chrono>

#include <boost/asio/ip/tcp.hpp>

namespace bergamotscale::http {
namespace {

using boost::asio::ip::tcp;

constexpr char kPlainScheme[] = "http";
// Of the probes that the kernel sends while nothing else passes.
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
// Without an acknowledgement for this long the kernel ends the connection; it
// looks when a probe is due, so 2 s after the last packet that came.
constexpr int kUserTimeoutMillis = 1800;

template <int kName>
using TcpOption =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, kName>;

// Makes the kernel notice a connection that something between the ends has
// lost track of. The peer's kernel answers the probes, so a peer that is busy
// or stopped goes unnoticed.
void WatchConnection(tcp::socket& socket, const tcp& protocol) {
  boost::system::error_code ignored;
  // The library gives the socket out before it opens it, and then connects it
  // as it is.
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
          WatchConnection(*static_cast<tcp::socket*>(socket), protocol);
        });
  }
  return config;
}

web::http::http_request SingleUseRequest(const Call& call,
                                         const web::uri& uri) {
  web::http::http_request request(call.method_);
  request.set_request_uri(uri.resource());
  // The peer then doesn't wait for another request on this connection.
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
