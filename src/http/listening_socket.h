// Stops new connections to a listening socket.
#ifndef BERGAMOTSCALE_SRC_HTTP_LISTENING_SOCKET_H_
#define BERGAMOTSCALE_SRC_HTTP_LISTENING_SOCKET_H_

#include "bergamotscale/result.h"

namespace bergamotscale::http {

// Makes the kernel drop each SYN that arrives at a listening socket from now
// on, while handshakes in progress still complete. Close the socket only after
// the queued connections are accepted, because closing it resets them and loses
// their requests. A peer resends a dropped SYN after about a second and then
// reaches the closed port or the next process.
// @param socket a TCP socket's file descriptor.
// Thread safety: safe.
Status DropNewConnections(int socket);

}  // namespace bergamotscale::http

#endif  // BERGAMOTSCALE_SRC_HTTP_LISTENING_SOCKET_H_
