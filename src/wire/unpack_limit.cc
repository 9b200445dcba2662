#include "src/wire/unpack_limit.h"

#include <algorithm>
#include <cstddef>

namespace bergamotscale::wire {

msgpack::unpack_limit MakeUnpackLimit(std::string_view bytes) {
  constexpr size_t kMaxElements = size_t{1} << 20;
  constexpr size_t kMaxDepth = 8;
  // Each element is encoded in at least one byte.
  const size_t elements = std::min(bytes.size(), kMaxElements);
  return msgpack::unpack_limit(elements, elements, bytes.size(), bytes.size(),
                               bytes.size(), kMaxDepth);
}

}  // namespace bergamotscale::wire
