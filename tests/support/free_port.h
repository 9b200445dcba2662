// Ports for tests.
#ifndef BERGAMOTSCALE_TESTS_SUPPORT_FREE_PORT_H_
#define BERGAMOTSCALE_TESTS_SUPPORT_FREE_PORT_H_

#include <unistd.h>

#include <atomic>
#include <cstdint>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace bergamotscale::testing {

// @return a port of 127.0.0.1 on which nothing is listening. It is below the
// range of ephemeral ports, so that no outgoing connection can take it.
inline uint16_t FreePort() {
  using Tcp = boost::asio::ip::tcp;
  constexpr int kFirstPort = 20000;
  constexpr int kPorts = 12000;
  constexpr int kStride = 97;
  static std::atomic<int> next{static_cast<int>(getpid()) * kStride};
  boost::asio::io_context io;
  for (;;) {
    const auto port = static_cast<uint16_t>(kFirstPort + next++ % kPorts);
    const Tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                 port);
    Tcp::acceptor acceptor(io, endpoint.protocol());
    boost::system::error_code taken;
    acceptor.bind(endpoint, taken);
    if (!taken) {
      return port;
    }
  }
}

}  // namespace bergamotscale::testing

#endif  // BERGAMOTSCALE_TESTS_SUPPORT_FREE_PORT_H_
