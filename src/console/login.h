// Shows the login form and starts sessions.
#ifndef BERGAMOTSCALE_SRC_CONSOLE_LOGIN_H_
#define BERGAMOTSCALE_SRC_CONSOLE_LOGIN_H_

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "src/console/sessions.h"
#include "src/console/web_request.h"

namespace bergamotscale::console {

// Name of the cookie that holds a session's token.
inline constexpr char kSessionCookie[] = "session";

// Checks operators' names and passwords, and limits the rate of attempts.
// Thread safety: safe.
class Login {
 public:
  // @return the operators who may log in now.
  using OperatorsHook = std::function<std::vector<Operator>()>;

  // @param mutex guards sessions; both must outlive this.
  Login(Sessions& sessions, std::mutex& mutex, OperatorsHook operators);

  // Redirects a browser without a session to the form. If the browser had a
  // session, the form says that its unpublished changes are lost.
  static void SendToLogin(WebRequest& web);
  // Replies with the form.
  static void Show(WebRequest web);
  // Starts a session if the form's name and password are right.
  void LogIn(WebRequest web, const Form& form);

 private:
  bool AllowAttempt();

  Sessions& sessions_;
  std::mutex& mutex_;
  const OperatorsHook operators_;
};

}  // namespace bergamotscale::console

#endif  // BERGAMOTSCALE_SRC_CONSOLE_LOGIN_H_
