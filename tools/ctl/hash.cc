#include <iostream>

#include "src/config/key_hash.h"
#include "tools/ctl/command.h"

namespace bergamotscale::ctl {
namespace {

constexpr size_t kKeyBytes = 24;

}  // namespace

int RunHashKey(const Arguments& arguments) {
  if (arguments.size() > 1) {
    return FailUsage("hash_key");
  }
  std::string key;
  if (arguments.empty()) {
    key = "bk-" + config::RandomHex(kKeyBytes);
    std::cout << "key  " << key << "\n";
  } else {
    key = arguments.front();
  }
  std::cout << "hash " << config::HashWorkspaceKey(key) << "\n";
  return kExitOk;
}

int RunHashPassword(const Arguments& arguments) {
  std::string password;
  if (!arguments.empty() || !std::getline(std::cin, password) ||
      password.empty()) {
    return FailUsage("hash_password");
  }
  std::cout << config::HashPassword(password) << "\n";
  return kExitOk;
}

}  // namespace bergamotscale::ctl
