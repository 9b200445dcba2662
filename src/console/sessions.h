// Sessions of operators who are logged in.
#ifndef BERGAMOTSCALE_SRC_CONSOLE_SESSIONS_H_
#define BERGAMOTSCALE_SRC_CONSOLE_SESSIONS_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "bergamotscale/clock.h"
#include "bergamotscale/config_document.h"
#include "src/console/draft.h"

namespace bergamotscale::console {

struct Session {
  std::string operator_;
  // CSRF token. Each POST request must carry it, and other sites can't read it.
  std::string csrf_token_;
  std::optional<Draft> draft_;
  Millis last_use_;
};

// Keeps sessions in memory. A session ends after an hour without use, or if it
// is the one unused for longest and there are 200 sessions when another starts.
// Thread safety: use from one thread at a time.
class Sessions {
 public:
  explicit Sessions(Clock clock);

  // Starts a session. @return its token, for the cookie.
  std::string Start(const std::string& name);
  // @return the session of a token, or null if it is unknown or has expired.
  std::shared_ptr<Session> Find(const std::string& token);
  void End(const std::string& token);

  // Counts an attempt to log in. @return false if there were too many in the
  // last seconds.
  bool AllowLogin();

 private:
  Clock clock_;
  std::map<std::string, std::shared_ptr<Session>> sessions_;
  std::deque<Millis> logins_;
};

// @return whether the operator of that name has that password. Takes as long
// for an unknown name, so that the time doesn't reveal which names exist.
// Thread safety: safe.
bool CheckPassword(const std::vector<Operator>& operators,
                   const std::string& name,
                   const std::string& password);

}  // namespace bergamotscale::console

#endif  // BERGAMOTSCALE_SRC_CONSOLE_SESSIONS_H_
