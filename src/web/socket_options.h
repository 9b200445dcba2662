// Options of all TCP connections.
#ifndef BERGAMOTSCALE_SRC_WEB_SOCKET_OPTIONS_H_
#define BERGAMOTSCALE_SRC_WEB_SOCKET_OPTIONS_H_

#include <cstddef>

#include <boost/asio/ip/tcp.hpp>

#include "bergamotscale/units.h"

namespace bergamotscale::web {

// Size that is requested for the system's buffers of a connection, one for each
// direction. They count towards the memory of the machine, and a peer that
// doesn't read or a paused response would fill much larger ones.
inline constexpr Bytes kMaxSystemBuffer = Bytes(64 << 10);

// The HTTP library throws an exception for a longer header or trailer field.
inline constexpr size_t kMaxHeaderField = 65'533;

// Disables Nagle's algorithm and lets the kernel close connections to dead
// peers: with TCP_USER_TIMEOUT for unacknowledged data, with keep-alive probes
// for idle connections. Bounds the system's buffers. If an option can't be set,
// the defaults detect a dead peer later and use larger buffers.
// @param buffer size requested for each of the system's buffers.
void SetConnectionOptions(boost::asio::ip::tcp::socket& socket,
                          Bytes buffer = kMaxSystemBuffer);

// Keeps a connection whose peer confirms probes of its closed window.
// Afterwards the caller must watch for a peer that confirms nothing while bytes
// are outstanding; idle connections are still probed.
void AllowClosedWindow(boost::asio::ip::tcp::socket& socket);

// @return the bytes that wait in the system's buffers: received and not read.
size_t UnreadInput(const boost::asio::ip::tcp::socket& socket);
// @return the bytes that were written and that the peer has not confirmed.
size_t UnconfirmedOutput(boost::asio::ip::tcp::socket& socket);

}  // namespace bergamotscale::web

#endif  // BERGAMOTSCALE_SRC_WEB_SOCKET_OPTIONS_H_
