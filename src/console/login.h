// The login form.
#ifndef BERGAMOTSCALE_SRC_CONSOLE_LOGIN_H_
#define BERGAMOTSCALE_SRC_CONSOLE_LOGIN_H_

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "src/console/sessions.h"
#include "src/console/web_request.h"

namespace bergamotscale::console {

// The cookie that names a session.
inline constexpr char kSessionCookie[] = "session";

// Thread safety: safe.
class Login {
 public:
  // @return who may log in now.
  using OperatorsHook = std::function<std::vector<Operator>()>;

  // @param mutex guards sessions; both must outlive this.
  Login(Sessions& sessions, std::mutex& mutex, OperatorsHook operators);

  // Sends a browser without a session to the form; one that had a session is
  // told that its changes are gone.
  static void SendToLogin(WebRequest& web);
  // Replies with the form.
  static void Show(WebRequest web);
  // Starts a session if the form's name and password are right.
  void LogIn(WebRequest web, const Form& form);

 private:
  bool Allow();

  Sessions& sessions_;
  std::mutex& mutex_;
  const OperatorsHook operators_;
};

}  // namespace bergamotscale::console

#endif  // BERGAMOTSCALE_SRC_CONSOLE_LOGIN_H_
