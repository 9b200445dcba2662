// A request from an operator's browser, with the functions to reply to it.
#ifndef BERGAMOTSCALE_SRC_CONSOLE_WEB_REQUEST_H_
#define BERGAMOTSCALE_SRC_CONSOLE_WEB_REQUEST_H_

#include <functional>
#include <string>

#include <cpprest/http_msg.h>

#include "src/console/form.h"

namespace bergamotscale::console {

// Reads cookies, query and form of a request and sends the reply with the
// security headers that all pages need.
// Thread safety: use from one thread at a time.
class WebRequest {
 public:
  explicit WebRequest(const web::http::http_request& request);

  // @return the value of a cookie; empty if there is none.
  std::string Cookie(const std::string& name) const;
  // @return the value of a query parameter; empty if there is none.
  std::string Query(const std::string& name) const;

  // Reads the body as a form and calls handle on a thread of the HTTP library.
  // If the body is too large or of unknown size, replies with an error instead.
  void ReadForm(std::function<void(WebRequest, const Form&)> handle) const;

  // Adds a cookie to the reply. Scripts can't read it, and requests from other
  // sites don't carry it.
  // @param value empty to remove the cookie.
  void SetCookie(const std::string& name, const std::string& value);

  void ReplyHtml(int status, const std::string& page);
  void ReplyStyle(const std::string& style);
  // Redirects the browser to another page, which it requests with GET.
  void Redirect(const std::string& path);

 private:
  void Reply(web::http::http_response response);

  web::http::http_request request_;
  std::string new_cookie_;
};

}  // namespace bergamotscale::console

#endif  // BERGAMOTSCALE_SRC_CONSOLE_WEB_REQUEST_H_
