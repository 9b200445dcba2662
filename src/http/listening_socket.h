// What the planned stop of an HTTP server needs from its listening socket.
#ifndef BERGAMOTSCALE_SRC_HTTP_LISTENING_SOCKET_H_
#define BERGAMOTSCALE_SRC_HTTP_LISTENING_SOCKET_H_

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

}  // namespace bergamotscale::http

#endif  // BERGAMOTSCALE_SRC_HTTP_LISTENING_SOCKET_H_
