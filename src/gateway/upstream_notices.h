// Records what upstreams say of themselves in their responses.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_UPSTREAM_NOTICES_H_
#define BERGAMOTSCALE_SRC_GATEWAY_UPSTREAM_NOTICES_H_

#include <cstdint>

#include "src/gateway/exchange.h"

namespace bergamotscale::gateway {

// The send whose connection a response came on.
struct ResponseSource {
  RequestId request_;
  int64_t call_ = 0;  // its number in the log
  Millis age_;        // of the request
  UpstreamKey upstream_;
  Millis sent_at_;
};

// Call it for each response, also for one to another request.
// Thread safety: use from the traffic thread.
void RecordNotices(ExchangeContext& context,
                   const ResponseSource& source,
                   const ResponseInfo& response);

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_UPSTREAM_NOTICES_H_
