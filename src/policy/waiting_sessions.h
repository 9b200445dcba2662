// Chooses the session that gives way where further connections wait.
#ifndef BERGAMOTSCALE_SRC_POLICY_WAITING_SESSIONS_H_
#define BERGAMOTSCALE_SRC_POLICY_WAITING_SESSIONS_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// What a session without a request in progress waits for its caller to do.
// Sessions give way in this order.
enum class SessionWait {
  kRequest,        // begin a request
  kRestOfRequest,  // finish it, or close after a refusal
  kReadResponse,   // read the response
};

// @return the wait as it is logged and counted.
const char* SessionWaitName(SessionWait wait);

struct WaitingSession {
  SessionWait wait_ = SessionWait::kRequest;
  Millis since_;
};

// A caller that reads its response is cut off only if it has taken no byte for
// this long.
inline constexpr Millis kMinUnreadTime = Millis(1'000);

// At a listener's limit of sessions, connections beyond it waited for minutes
// behind clients that had sent half a header. The session that gives way is the
// one that has waited longest, of the first kind of wait that there is.
// @param since_ of a session that waits for its caller to read is the time of
// its last progress.
// @return its index; none if no session may give way. Thread safety: safe.
std::optional<size_t> ChooseSessionToClose(
    const std::vector<WaitingSession>& sessions,
    Millis now);

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_WAITING_SESSIONS_H_
