// What makes a call go out at most once, for all clients of the HTTP library.
#ifndef BERGAMOTSCALE_SRC_HTTP_SINGLE_USE_CALL_H_
#define BERGAMOTSCALE_SRC_HTTP_SINGLE_USE_CALL_H_

#include <cpprest/http_client.h>

#include "bergamotscale/result.h"
#include "src/http/client.h"

namespace bergamotscale::http {

// @return the configuration of a client that is made for this call only: no
// redirect is followed, since that would send the call a second time.
// Thread safety: safe.
web::http::client::http_client_config SingleUseConfig(const Call& call);

// @return the request of a call, on a connection that isn't kept.
// Thread safety: safe.
web::http::http_request SingleUseRequest(const Call& call, const web::uri& uri);

// @return kUpstreamUnreachable if nothing was sent, which only a failure to
// connect proves; else kUpstreamFailed. Thread safety: safe.
Error ErrorOfFailure(const web::http::http_exception& failure);

}  // namespace bergamotscale::http

#endif  // BERGAMOTSCALE_SRC_HTTP_SINGLE_USE_CALL_H_
