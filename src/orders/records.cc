#include "src/orders/records.h"

#include <cctype>

#include <xxhash.h>

namespace bergamotscale::orders {
namespace {

constexpr size_t kUuidLength = 36;
constexpr size_t kUuidVersionAt = 14;

bool IsUuid(const std::string& text) {
  if (text.size() != kUuidLength) {
    return false;
  }
  for (size_t at = 0; at < text.size(); ++at) {
    const bool dash = at == 8 || at == 13 || at == 18 || at == 23;
    const auto character = static_cast<unsigned char>(text[at]);
    if (dash ? character != '-' : std::isxdigit(character) == 0) {
      return false;
    }
  }
  return true;
}

}  // namespace

uint64_t HashOf(const OrderKey& key) {
  const std::string& workspace = key.workspace_.value();
  const uint64_t seed = XXH3_64bits(workspace.data(), workspace.size());
  const std::string& name = key.key_.value();
  return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

std::optional<Millis> DateOf(const IdempotencyKey& key) {
  const std::string& text = key.value();
  if (!IsUuid(text) || text[kUuidVersionAt] != '7') {
    return std::nullopt;
  }
  const std::string digits = text.substr(0, 8) + text.substr(9, 4);
  return Millis(std::stoll(digits, nullptr, 16));
}

std::string EncodeBatch(const OrderBatch& batch) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, batch);
  return std::string(buffer.data(), buffer.size());
}

Result<OrderBatch> DecodeBatch(const std::string& payload) {
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(payload.data(), payload.size());
    return handle.get().as<OrderBatch>();
  } catch (const std::exception& failure) {
    return Error(ErrorCode::kProtocolError, failure.what());
  }
}

}  // namespace bergamotscale::orders
