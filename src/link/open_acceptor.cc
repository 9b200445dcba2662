#include "src/link/open_acceptor.h"

#include <boost/asio/ip/address.hpp>

namespace bergamotscale::link {

using boost::asio::ip::tcp;

Result<Endpoint> OpenAcceptor(tcp::acceptor& acceptor,
                              const Endpoint& endpoint) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(endpoint.address_, error);
  const tcp::endpoint local(address, endpoint.port_);
  if (!error) {
    acceptor.open(local.protocol(), error);
  }
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor.bind(local, error);
  }
  if (!error) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Error(ErrorCode::kInternal,
                 endpoint.ToString() + ": " + error.message());
  }
  return Endpoint{endpoint.address_, acceptor.local_endpoint().port()};
}

}  // namespace bergamotscale::link
