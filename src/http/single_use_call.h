// Ensures that the HTTP library sends a call at most once.
#ifndef BERGAMOTSCALE_SRC_HTTP_SINGLE_USE_CALL_H_
#define BERGAMOTSCALE_SRC_HTTP_SINGLE_USE_CALL_H_

#include <cpprest/http_client.h>

#include "bergamotscale/result.h"
#include "src/http/client.h"

namespace bergamotscale::http {

// @return the configuration of a client used for this call only. Redirects are
// not followed, because that would send the call a second time.
// Thread safety: safe.
web::http::client::http_client_config SingleUseConfig(const Call& call);

// @return the request of a call, with "Connection: close".
// Thread safety: safe.
web::http::http_request SingleUseRequest(const Call& call, const web::uri& uri);

// @return kUpstreamUnreachable if the connection failed, so that nothing was
// sent; else kUpstreamFailed. Thread safety: safe.
Error ErrorOfFailure(const web::http::http_exception& failure);

}  // namespace bergamotscale::http

#endif  // BERGAMOTSCALE_SRC_HTTP_SINGLE_USE_CALL_H_
