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
  // Each post carries this token, which other sites can't read.
  std::string csrf_token_;
  std::optional<Draft> draft_;
  Millis last_use_;
};

// Thread safety: use from one thread at a time.
class Sessions {
 public:
  explicit Sessions(Clock clock);

  // @return the token of a new session, for the cookie.
  std::string Start(const std::string& name);
  // @return the session of a token, or null if it is unknown or has expired.
  std::shared_ptr<Session> Find(const std::string& token);
  void End(const std::string& token);

  // @return false if there were too many attempts to log in of late.
  bool AllowLogin();

 private:
  Clock clock_;
  std::map<std::string, std::shared_ptr<Session>> sessions_;
  std::deque<Millis> logins_;
};

// @return true if the operator of that name has that password. Takes as long
// for an unknown name. Thread safety: safe.
bool CheckPassword(const std::vector<Operator>& operators,
                   const std::string& name,
                   const std::string& password);

}  // namespace bergamotscale::console

#endif  // BERGAMOTSCALE_SRC_CONSOLE_SESSIONS_H_
