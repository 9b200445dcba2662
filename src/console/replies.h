// Replies to operators who are logged in.
#ifndef BERGAMOTSCALE_SRC_CONSOLE_REPLIES_H_
#define BERGAMOTSCALE_SRC_CONSOLE_REPLIES_H_

#include <memory>
#include <string>

#include "src/console/sessions.h"
#include "src/console/web_request.h"

namespace bergamotscale::console {

using SessionPtr = std::shared_ptr<Session>;

inline constexpr int kHttpOk = 200;
inline constexpr int kHttpBadRequest = 400;
inline constexpr int kHttpForbidden = 403;
inline constexpr int kHttpNotFound = 404;

// Name of the form field that carries the session's CSRF token.
inline constexpr char kCsrf[] = "csrf";

// @return the hidden input with the CSRF token, required in each form of the
// session.
std::string CsrfInput(const Session& session);

// Replies with a complete page. Precondition: the lock that guards the session
// is held.
void ReplyPage(WebRequest& web,
               const SessionPtr& session,
               int status,
               const std::string& title,
               const std::string& body);

// Replies with a page of one paragraph of plain text. The precondition is the
// same.
void ReplyMessage(WebRequest& web,
                  const SessionPtr& session,
                  int status,
                  const std::string& title,
                  const std::string& message);

}  // namespace bergamotscale::console

#endif  // BERGAMOTSCALE_SRC_CONSOLE_REPLIES_H_
