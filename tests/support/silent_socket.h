// Simulates a connection that a network device has stopped forwarding.
#ifndef BERGAMOTSCALE_TESTS_SUPPORT_SILENT_SOCKET_H_
#define BERGAMOTSCALE_TESTS_SUPPORT_SILENT_SOCKET_H_

#include <linux/filter.h>
#include <sys/socket.h>

namespace bergamotscale::testing {

// Drops all further packets that arrive at the socket, so that the peer gets no
// more acknowledgements. @return whether the kernel accepted the filter.
inline bool LosePackets(int socket) {
  sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
  const sock_fprog program = {1, &drop};
  return setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                    sizeof(program)) == 0;
}

// Ends LosePackets(). @return whether the socket had a filter.
inline bool ReceivePackets(int socket) {
  const int unused = 0;
  return setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &unused,
                    sizeof(unused)) == 0;
}

}  // namespace bergamotscale::testing

#endif  // BERGAMOTSCALE_TESTS_SUPPORT_SILENT_SOCKET_H_
