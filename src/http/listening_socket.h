// What the planned stop of an HTTP server needs from its listening socket.
#ifndef BERGAMOTSCALE_SRC_HTTP_LISTENING_SOCKET_H_
#define BERGAMOTSCALE_SRC_HTTP_LISTENING_SOCKET_H_

#include <cstdint>
#include <vector>

#include "bergamotscale/result.h"

namespace bergamotscale::http {

// From then on the kernel drops each SYN that arrives at a listening socket.
// Closing the socket resets the connections that wait to be accepted, with the
// requests that they carry, so it is closed once they are accepted. A
// connection that has begun its handshake is still completed. A peer whose SYN
// was dropped sends it again about a second later, and then meets the closed
// port or the next process. @param socket a descriptor of TCP.
// Thread safety: safe.
Status DropNewConnections(int socket);

// Open TCP sockets of this process that are bound to a local port.
struct PortSockets {
  std::vector<int> listening_;  // descriptors
  int connected_ = 0;
  int to_accept_ = 0;  // connections that wait to be accepted
};

// Looks at each descriptor of the process. Thread safety: safe; another thread
// may close a descriptor meanwhile.
PortSockets FindPortSockets(uint16_t port);

}  // namespace bergamotscale::http

#endif  // BERGAMOTSCALE_SRC_HTTP_LISTENING_SOCKET_H_
