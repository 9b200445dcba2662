#include "src/console/sessions.h"

#include <utility>

#include "src/config/key_hash.h"

namespace bergamotscale::console {
namespace {

constexpr size_t kTokenBytes = 32;
constexpr size_t kMaxSessions = 200;
constexpr Millis kIdleLimit = Millis(int64_t{60} * 60 * 1000);
constexpr size_t kMaxLogins = 20;
constexpr Millis kLoginWindow = Millis(10000);

}  // namespace

Sessions::Sessions(Clock clock) : clock_(std::move(clock)) {}

std::string Sessions::Start(const std::string& name) {
  if (sessions_.size() >= kMaxSessions) {
    auto oldest = sessions_.begin();
    for (auto entry = sessions_.begin(); entry != sessions_.end(); ++entry) {
      if (entry->second->last_use_ < oldest->second->last_use_) {
        oldest = entry;
      }
    }
    sessions_.erase(oldest);
  }
  auto session = std::make_shared<Session>();
  session->operator_ = name;
  session->csrf_token_ = config::RandomHex(kTokenBytes);
  session->last_use_ = clock_.Now();
  std::string token = config::RandomHex(kTokenBytes);
  sessions_[token] = std::move(session);
  return token;
}

std::shared_ptr<Session> Sessions::Find(const std::string& token) {
  const auto found = sessions_.find(token);
  if (found == sessions_.end()) {
    return nullptr;
  }
  const Millis now = clock_.Now();
  if (now - found->second->last_use_ > kIdleLimit) {
    sessions_.erase(found);
    return nullptr;
  }
  found->second->last_use_ = now;
  return found->second;
}

void Sessions::End(const std::string& token) {
  sessions_.erase(token);
}

bool Sessions::AllowLogin() {
  const Millis now = clock_.Now();
  while (!logins_.empty() && now - logins_.front() > kLoginWindow) {
    logins_.pop_front();
  }
  if (logins_.size() >= kMaxLogins) {
    return false;
  }
  logins_.push_back(now);
  return true;
}

bool CheckPassword(const std::vector<Operator>& operators,
                   const std::string& name,
                   const std::string& password) {
  static const std::string kUnknown = config::HashPassword("unknown");
  std::string hash = kUnknown;
  bool known = false;
  for (const Operator& candidate : operators) {
    if (candidate.name_ == name) {
      hash = candidate.password_hash_;
      known = true;
    }
  }
  return config::VerifyPassword(password, hash) && known;
}

}  // namespace bergamotscale::console
