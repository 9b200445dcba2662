// Options that every TCP connection of the project sets alike.
#ifndef BERGAMOTSCALE_SRC_WEB_SOCKET_OPTIONS_H_
#define BERGAMOTSCALE_SRC_WEB_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace bergamotscale::web {

// Sends small writes at once, and lets the kernel end a connection whose peer
// is silent: unacknowledged data by TCP_USER_TIMEOUT, idle ones by keep-alive
// probes. A failure leaves the defaults, which only notice later.
void SetConnectionOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace bergamotscale::web

#endif  // BERGAMOTSCALE_SRC_WEB_SOCKET_OPTIONS_H_
