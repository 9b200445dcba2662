#include "src/console/replies.h"

#include "src/console/html.h"
#include "src/console/pages.h"

namespace bergamotscale::console {

std::string CsrfInput(const Session& session) {
  return HiddenInput(kCsrf, session.csrf_token_);
}

void ReplyPage(WebRequest& web,
               const SessionPtr& session,
               int status,
               const std::string& title,
               const std::string& body) {
  Frame frame;
  frame.title_ = title;
  frame.operator_ = session->operator_;
  frame.csrf_token_ = session->csrf_token_;
  frame.has_changes_ = session->draft_ && session->draft_->HasChanges();
  web.ReplyHtml(status, RenderPage(frame, body));
}

void ReplyMessage(WebRequest& web,
                  const SessionPtr& session,
                  int status,
                  const std::string& title,
                  const std::string& message) {
  ReplyPage(web, session, status, title, "<p>" + EscapeHtml(message) + "</p>");
}

}  // namespace bergamotscale::console
