// HTTP client that uses a new connection for each call.
#ifndef BERGAMOTSCALE_SRC_HTTP_CLIENT_H_
#define BERGAMOTSCALE_SRC_HTTP_CLIENT_H_

#include <functional>
#include <string>
#include <vector>

#include "bergamotscale/result.h"
#include "bergamotscale/units.h"

namespace bergamotscale::http {

struct Header {
  std::string name_;
  std::string value_;
};

struct Call {
  std::string method_ = "GET";
  std::string url_;  // such as "http://127.0.0.1:9000/read?from=0"
  std::string body_;
  std::string content_type_ = "application/json";
  std::vector<Header> headers_;
  Millis timeout_ = Millis(5000);
};

struct Reply {
  int status_ = 0;
  std::string body_;
  std::string content_type_;
  std::string set_cookie_;
};

// Makes the call on a new connection. cpprestsdk retries a request by itself
// when a reused connection closes early, so connections are never reused.
// The hook is called once, on a thread of the HTTP library. Errors:
// kUpstreamUnreachable if nothing was sent, else kUpstreamFailed: the peer may
// have executed the call. Any HTTP status is a Reply, not an error.
// Thread safety: safe.
void CallOnce(const Call& call, std::function<void(Result<Reply>)> hook);

// Makes a call like CallOnce(), but blocks until the reply. Don't call on a
// thread of the HTTP library.
Result<Reply> CallAndWait(const Call& call);

}  // namespace bergamotscale::http

#endif  // BERGAMOTSCALE_SRC_HTTP_CLIENT_H_
