// Reads the body of a request to a listener.
#ifndef BERGAMOTSCALE_SRC_HTTP_BODY_H_
#define BERGAMOTSCALE_SRC_HTTP_BODY_H_

#include <functional>
#include <string>

#include <cpprest/http_msg.h>

namespace bergamotscale::http {

// Calls handle with the complete body, of any content type, on a thread of the
// HTTP library. Does not call it if the caller disconnects first. Precondition:
// the body's size is limited in front of the listener, for example by a
// CallerGuard.
// Thread safety: safe.
void ReadBody(web::http::http_request request,
              std::function<void(const std::string&)> handle);

}  // namespace bergamotscale::http

#endif  // BERGAMOTSCALE_SRC_HTTP_BODY_H_
