#include "src/console/login.h"

#include <utility>

#include "src/config/key_hash.h"
#include "src/console/html.h"
#include "src/console/pages.h"
#include "src/console/replies.h"

namespace bergamotscale::console {
namespace {

constexpr int kHttpTooMany = 429;
constexpr size_t kTokenBytes = 16;
constexpr char kLoginCookie[] = "login";
constexpr char kSessionEnded[] =
    "Your session has ended, by its time or by a restart of the console. "
    "Changes that were not published are gone.";

// There is no session yet that could hold the form's CSRF token. The token is
// also set in a cookie, which another site can neither read nor set.
void ShowForm(WebRequest& web, int status, const std::string& error) {
  const std::string token = config::RandomHex(kTokenBytes);
  web.SetCookie(kLoginCookie, token);
  Frame frame;
  frame.title_ = "Log in";
  web.ReplyHtml(
      status, RenderPage(frame, LoginBody(HiddenInput("csrf", token), error)));
}

}  // namespace

Login::Login(Sessions& sessions, std::mutex& mutex, OperatorsHook operators)
    : sessions_(sessions), mutex_(mutex), operators_(std::move(operators)) {}

void Login::SendToLogin(WebRequest& web) {
  const bool had_session = !web.Cookie(kSessionCookie).empty();
  web.Redirect(had_session ? "/login?ended=1" : "/login");
}

void Login::Show(WebRequest web) {
  const bool ended = !web.Query("ended").empty();
  ShowForm(web, kHttpOk, ended ? kSessionEnded : "");
}

void Login::LogIn(WebRequest web, const Form& form) {
  const std::string token = web.Cookie(kLoginCookie);
  if (token.empty() || !config::EqualInConstantTime(form.Get("csrf"), token)) {
    ShowForm(web, kHttpForbidden, "Please log in on this page.");
    return;
  }
  if (!AllowAttempt()) {
    ShowForm(web, kHttpTooMany, "Too many attempts; wait a while.");
    return;
  }
  const std::string name = form.Get("name");
  if (!CheckPassword(operators_(), name, form.Get("password"))) {
    ShowForm(web, kHttpForbidden, "The name or the password is wrong.");
    return;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  web.SetCookie(kSessionCookie, sessions_.Start(name));
  web.Redirect("/");
}

bool Login::AllowAttempt() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return sessions_.AllowLogin();
}

}  // namespace bergamotscale::console
