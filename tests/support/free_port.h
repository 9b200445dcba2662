// Ports for tests.
#ifndef BERGAMOTSCALE_TESTS_SUPPORT_FREE_PORT_H_
#define BERGAMOTSCALE_TESTS_SUPPORT_FREE_PORT_H_

#include <cstdint>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace bergamotscale::testing {

// @return a port of 127.0.0.1 on which nothing listens at the moment.
inline uint16_t FreePort() {
  using Tcp = boost::asio::ip::tcp;
  boost::asio::io_context io;
  const Tcp::acceptor acceptor(
      io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  return acceptor.local_endpoint().port();
}

}  // namespace bergamotscale::testing

#endif  // BERGAMOTSCALE_TESTS_SUPPORT_FREE_PORT_H_
