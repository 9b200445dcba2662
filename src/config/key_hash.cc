#include "src/config/key_hash.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

namespace bergamotscale::config {
namespace {

constexpr size_t kHashBytes = 32;
constexpr size_t kSaltBytes = 16;
constexpr int kIterations = 120000;
constexpr int kMaxIterations = 10000000;
constexpr size_t kMaxIterationDigits = 8;

std::string ToHex(const unsigned char* bytes, size_t count) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(count * 2);
  for (size_t index = 0; index < count; ++index) {
    text.push_back(kDigits[bytes[index] >> 4]);
    text.push_back(kDigits[bytes[index] & 0xf]);
  }
  return text;
}

bool IsHex(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](char digit) {
    return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
  });
}

int HexValue(char digit) {
  return digit <= '9' ? digit - '0' : digit - 'a' + 10;
}

// Precondition: IsHex(text).
std::vector<unsigned char> FromHex(const std::string& text) {
  std::vector<unsigned char> bytes;
  for (size_t index = 0; index + 1 < text.size(); index += 2) {
    bytes.push_back(static_cast<unsigned char>(HexValue(text[index]) * 16 +
                                               HexValue(text[index + 1])));
  }
  return bytes;
}

std::string Derive(const std::string& password,
                   const std::string& hex_salt,
                   int iterations) {
  const std::vector<unsigned char> salt = FromHex(hex_salt);
  std::array<unsigned char, kHashBytes> hash{};
  PKCS5_PBKDF2_HMAC(password.data(), static_cast<int>(password.size()),
                    salt.data(), static_cast<int>(salt.size()), iterations,
                    EVP_sha256(), static_cast<int>(hash.size()), hash.data());
  return ToHex(hash.data(), hash.size());
}

struct PasswordHash {
  int iterations_ = 0;  // zero if the text is malformed
  std::string salt_;
  std::string hash_;
};

PasswordHash SplitPasswordHash(const std::string& text) {
  const size_t first = text.find('$');
  const size_t second = text.find('$', first + 1);
  if (first == std::string::npos || second == std::string::npos || first == 0 ||
      first > kMaxIterationDigits) {
    return {};
  }
  PasswordHash parts;
  parts.salt_ = text.substr(first + 1, second - first - 1);
  parts.hash_ = text.substr(second + 1);
  const int iterations = std::atoi(text.substr(0, first).c_str());
  const bool valid = iterations > 0 && iterations <= kMaxIterations &&
                     !parts.salt_.empty() && parts.salt_.size() % 2 == 0 &&
                     IsHex(parts.salt_) &&
                     parts.hash_.size() == kHashBytes * 2 && IsHex(parts.hash_);
  parts.iterations_ = valid ? iterations : 0;
  return parts;
}

}  // namespace

std::string HashWorkspaceKey(const std::string& key) {
  std::array<unsigned char, kHashBytes> hash{};
  unsigned int size = 0;
  EVP_Digest(key.data(), key.size(), hash.data(), &size, EVP_sha256(), nullptr);
  return ToHex(hash.data(), hash.size());
}

bool IsKeyHash(const std::string& text) {
  return text.size() == kHashBytes * 2 && IsHex(text);
}

std::string HashPassword(const std::string& password) {
  const std::string salt = RandomHex(kSaltBytes);
  return std::to_string(kIterations) + "$" + salt + "$" +
         Derive(password, salt, kIterations);
}

bool IsPasswordHash(const std::string& text) {
  return SplitPasswordHash(text).iterations_ > 0;
}

bool VerifyPassword(const std::string& password, const std::string& hash) {
  const PasswordHash parts = SplitPasswordHash(hash);
  if (parts.iterations_ == 0) {
    return false;
  }
  return EqualInConstantTime(Derive(password, parts.salt_, parts.iterations_),
                             parts.hash_);
}

std::string RandomHex(size_t bytes) {
  std::vector<unsigned char> buffer(bytes);
  if (RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1) {
    std::abort();  // never return a predictable secret
  }
  return ToHex(buffer.data(), buffer.size());
}

bool EqualInConstantTime(const std::string& a, const std::string& b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace bergamotscale::config
