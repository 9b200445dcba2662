// Ports for tests.
#ifndef BERGAMOTSCALE_TESTS_SUPPORT_FREE_PORT_H_
#define BERGAMOTSCALE_TESTS_SUPPORT_FREE_PORT_H_

#include <cstdint>
#include <random>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace bergamotscale::testing {

// @return a port of 127.0.0.1 on which nothing listens at the moment. It is
// below the ports that the kernel gives to outgoing connections, one of which
// would else take it before its process listens.
inline uint16_t FreePort() {
  using Tcp = boost::asio::ip::tcp;
  constexpr int kFirstPort = 12000;
  constexpr int kPorts = 20000;
  static std::random_device random;
  const auto address = boost::asio::ip::make_address("127.0.0.1");
  while (true) {
    const auto port = static_cast<uint16_t>(kFirstPort + random() % kPorts);
    boost::asio::io_context io;
    Tcp::acceptor acceptor(io, Tcp::v4());
    boost::system::error_code error;
    acceptor.bind(Tcp::endpoint(address, port), error);
    if (!error) {
      return port;
    }
  }
}

}  // namespace bergamotscale::testing

#endif  // BERGAMOTSCALE_TESTS_SUPPORT_FREE_PORT_H_
