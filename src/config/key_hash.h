// Hashes of secrets: workspace keys and operators' passwords.
#ifndef BERGAMOTSCALE_SRC_CONFIG_KEY_HASH_H_
#define BERGAMOTSCALE_SRC_CONFIG_KEY_HASH_H_

#include <cstddef>
#include <string>

namespace bergamotscale::config {

// @return the lower-case hex SHA-256 of a workspace key. Thread safety: safe.
std::string HashWorkspaceKey(const std::string& key);

// @return true if text has the form of HashWorkspaceKey()'s result.
bool IsKeyHash(const std::string& text);

// @return PBKDF2-HMAC-SHA256 with a random salt, as
// "iterations$hex salt$hex hash". Takes some milliseconds by design, to slow
// down brute force.
// Thread safety: safe.
std::string HashPassword(const std::string& password);

// @return true if text has the form of HashPassword()'s result.
bool IsPasswordHash(const std::string& text);

// @return true if the password has that hash; false also for a malformed hash.
// Compares in constant time. Thread safety: safe.
bool VerifyPassword(const std::string& password, const std::string& hash);

// @return that many cryptographically random bytes, as lower-case hex.
// Thread safety: safe.
std::string RandomHex(size_t bytes);

// @return true if a equals b, in a time that depends on their sizes only.
bool EqualInConstantTime(const std::string& a, const std::string& b);

}  // namespace bergamotscale::config

#endif  // BERGAMOTSCALE_SRC_CONFIG_KEY_HASH_H_
