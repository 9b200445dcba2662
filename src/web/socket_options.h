// Options of all TCP connections.
#ifndef BERGAMOTSCALE_SRC_WEB_SOCKET_OPTIONS_H_
#define BERGAMOTSCALE_SRC_WEB_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace bergamotscale::web {

// Disables Nagle's algorithm and lets the kernel close connections to dead
// peers: with TCP_USER_TIMEOUT for unacknowledged data, with keep-alive probes
// for idle connections. If an option can't be set, the defaults detect a dead
// peer later.
void SetConnectionOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace bergamotscale::web

#endif  // BERGAMOTSCALE_SRC_WEB_SOCKET_OPTIONS_H_
