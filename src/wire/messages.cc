#include "src/wire/messages.h"

#include <algorithm>
#include <cstddef>

namespace bergamotscale::wire {

Result<MessageType> PeekType(std::string_view frame) {
  if (frame.empty()) {
    return Error(ErrorCode::kProtocolError, "empty frame");
  }
  const auto number = static_cast<uint8_t>(frame.front());
  const auto first = static_cast<uint8_t>(MessageType::kReserve);
  const auto last = static_cast<uint8_t>(MessageType::kGossip);
  if (number < first || number > last) {
    return Error(ErrorCode::kProtocolError, "unknown message type");
  }
  return static_cast<MessageType>(number);
}

msgpack::unpack_limit LimitOf(std::string_view frame) {
  constexpr size_t kMaxElements = size_t{1} << 20;
  constexpr size_t kMaxDepth = 8;
  // Each element takes at least one byte.
  const size_t elements = std::min(frame.size(), kMaxElements);
  return msgpack::unpack_limit(elements, elements, frame.size(), frame.size(),
                               frame.size(), kMaxDepth);
}

}  // namespace bergamotscale::wire
