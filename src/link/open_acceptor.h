// Binds a listening socket.
#ifndef BERGAMOTSCALE_SRC_LINK_OPEN_ACCEPTOR_H_
#define BERGAMOTSCALE_SRC_LINK_OPEN_ACCEPTOR_H_

#include <boost/asio/ip/tcp.hpp>

#include "bergamotscale/result.h"
#include "src/link/link.h"

namespace bergamotscale::link {

// Opens, binds and listens; port 0 selects a free port.
// @return the bound endpoint, or kInternal with the system's reason.
// Thread safety: that of the acceptor.
Result<Endpoint> OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                              const Endpoint& endpoint);

}  // namespace bergamotscale::link

#endif  // BERGAMOTSCALE_SRC_LINK_OPEN_ACCEPTOR_H_
