// When a caller that was rejected should come back.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_RETRY_AFTER_H_
#define BERGAMOTSCALE_SRC_GATEWAY_RETRY_AFTER_H_

#include <optional>
#include <string>

#include "bergamotscale/units.h"

namespace bergamotscale::gateway {

// What decides when the caller of a rejected request comes back.
struct Rejection {
  bool is_stopping_ = false;  // other gateways can take the request
  // The request can't be continued, but its caller can begin anew at once.
  bool may_begin_anew_ = false;
  // How long all upstreams asked for no requests, or until their limits allow
  // one; never shorter.
  Millis upstream_pause_;
  std::optional<Millis> time_left_;  // for the caller, if it is known
};

// Thread safety: safe.
Millis ChooseRetryAfter(const Rejection& rejection);

// @return the time as Retry-After states it. Thread safety: safe.
std::string FormatSeconds(Millis time);

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_RETRY_AFTER_H_
