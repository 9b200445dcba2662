#include "src/policy/waiting_sessions.h"

#include <tuple>

namespace bergamotscale::policy {

const char* SessionWaitName(SessionWait wait) {
  switch (wait) {
    case SessionWait::kRequest:
      return "idle";
    case SessionWait::kRestOfRequest:
      return "unfinished";
    case SessionWait::kReadResponse:
      return "unread";
  }
  return "";
}

std::optional<size_t> ChooseSessionToClose(
    const std::vector<WaitingSession>& sessions,
    Millis now) {
  std::optional<size_t> chosen;
  for (size_t i = 0; i < sessions.size(); ++i) {
    const WaitingSession& session = sessions[i];
    if (session.wait_ == SessionWait::kReadResponse &&
        now - session.since_ < kMinUnreadTime) {
      continue;
    }
    if (!chosen.has_value() ||
        std::tie(session.wait_, session.since_) <
            std::tie(sessions[*chosen].wait_, sessions[*chosen].since_)) {
      chosen = i;
    }
  }
  return chosen;
}

}  // namespace bergamotscale::policy
