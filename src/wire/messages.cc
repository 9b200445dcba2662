#include "src/wire/messages.h"

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

}  // namespace bergamotscale::wire
