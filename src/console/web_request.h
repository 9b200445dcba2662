// A request of an operator's browser, and the replies to it.
#ifndef BERGAMOTSCALE_SRC_CONSOLE_WEB_REQUEST_H_
#define BERGAMOTSCALE_SRC_CONSOLE_WEB_REQUEST_H_

#include <functional>
#include <string>

#include <cpprest/http_msg.h>

#include "src/console/form.h"

namespace bergamotscale::console {

// Thread safety: use from one thread at a time.
class WebRequest {
 public:
  explicit WebRequest(const web::http::http_request& request);

  // @return the value of a cookie; empty if there is none.
  std::string Cookie(const std::string& name) const;
  // @return the value of a query parameter; empty if there is none.
  std::string Query(const std::string& name) const;

  // Reads the body as a form and calls handle on a thread of the HTTP library;
  // replies by itself if the body is too large or of unknown size.
  void ReadForm(std::function<void(WebRequest, const Form&)> handle) const;

  // Adds a cookie to the reply that scripts and other sites can't use.
  // @param value empty to remove the cookie.
  void SetCookie(const std::string& name, const std::string& value);

  void ReplyHtml(int status, const std::string& page);
  void ReplyStyle(const std::string& style);
  // Sends the browser to another page, with GET.
  void Redirect(const std::string& path);

 private:
  void Reply(web::http::http_response response);

  web::http::http_request request_;
  std::string new_cookie_;
};

}  // namespace bergamotscale::console

#endif  // BERGAMOTSCALE_SRC_CONSOLE_WEB_REQUEST_H_
