// Replies to an operator who is logged in: pages in the console's frame.
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

// The form field that carries the session's token.
inline constexpr char kCsrf[] = "csrf";

// @return the hidden input that each form of the session must have.
std::string CsrfInput(const Session& session);

// Replies with a page in the frame. Precondition: the lock that guards the
// session is held.
void ReplyPage(WebRequest& web,
               const SessionPtr& session,
               int status,
               const std::string& title,
               const std::string& body);

// The same with one paragraph of plain text.
void ReplyMessage(WebRequest& web,
                  const SessionPtr& session,
                  int status,
                  const std::string& title,
                  const std::string& message);

}  // namespace bergamotscale::console

#endif  // BERGAMOTSCALE_SRC_CONSOLE_REPLIES_H_
