#include "src/orders/records.h"

#include <cctype>
#include <vector>

#include <openssl/evp.h>
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

// Records are binary, but the log service only accepts text.
std::string EncodeBase64(const char* data, size_t size) {
  std::vector<unsigned char> text((size + 2) / 3 * 4 + 1);
  const int length =
      EVP_EncodeBlock(text.data(), reinterpret_cast<const unsigned char*>(data),
                      static_cast<int>(size));
  return std::string(text.begin(), text.begin() + length);
}

// @return the bytes, with up to two zeros of padding; empty if malformed.
std::vector<char> DecodeBase64(const std::string& text) {
  std::vector<char> bytes(text.size() / 4 * 3);
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  bytes.resize(length < 0 ? 0 : length);
  return bytes;
}

}  // namespace

uint64_t HashOrderKey(const OrderKey& key) {
  const std::string& workspace = key.workspace_.value();
  const uint64_t seed = XXH3_64bits(workspace.data(), workspace.size());
  const std::string& name = key.key_.value();
  return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

std::optional<Millis> GetKeyTimestamp(const IdempotencyKey& key) {
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
  return EncodeBase64(buffer.data(), buffer.size());
}

Result<OrderBatch> DecodeBatch(const std::string& payload) {
  const std::vector<char> bytes = DecodeBase64(payload);
  try {
    // Padding may follow the batch, so its end is not checked.
    size_t offset = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), offset);
    return handle.get().as<OrderBatch>();
  } catch (const std::exception& failure) {
    return Error(ErrorCode::kProtocolError, failure.what());
  }
}

}  // namespace bergamotscale::orders
