// Limits for decoding msgpack received from other processes.
#ifndef BERGAMOTSCALE_SRC_WIRE_UNPACK_LIMIT_H_
#define BERGAMOTSCALE_SRC_WIRE_UNPACK_LIMIT_H_

#include <string_view>

#include <msgpack.hpp>

namespace bergamotscale::wire {

// @return the limits of lengths that these bytes can contain. Without limits a
// few bytes could cause an allocation of any size. Thread safety: safe.
msgpack::unpack_limit MakeUnpackLimit(std::string_view bytes);

}  // namespace bergamotscale::wire

#endif  // BERGAMOTSCALE_SRC_WIRE_UNPACK_LIMIT_H_
