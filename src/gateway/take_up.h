// Finds out which upstreams may continue a stream that a request takes up.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_TAKE_UP_H_
#define BERGAMOTSCALE_SRC_GATEWAY_TAKE_UP_H_

#include <cstdint>
#include <functional>

#include "bergamotscale/ids.h"
#include "src/gateway/exchange.h"
#include "src/policy/stream_origins.h"
#include "src/route/route_table.h"

namespace bergamotscale::gateway {

// A request that goes on behind the last event of an earlier response.
struct TakeUp {
  RequestId request_;
  int64_t call_ = 0;  // its number in the log
  // The request that brought the first event; empty if the caller named none.
  RequestId stream_;
  const route::Route* route_ = nullptr;
  GroupId group_;  // where a stream of that name begins
};

struct TakeUpOutcome {
  // Why the request must not go on; null if it may, at the origin's version.
  const char* refusal_ = nullptr;
  policy::StreamOrigin origin_;
};

// Decides, after a look into the log of origins if need be.
// @param done called once, possibly from within this call.
// Thread safety: use from the traffic thread.
void ResolveTakeUp(ExchangeContext& context,
                   const TakeUp& take_up,
                   std::function<void(const TakeUpOutcome&)> done);

// @return whether the list of upstreams shows what was at an address when a
// connection to it was made. Thread safety: use from the traffic thread.
bool IsConfirmed(const ExchangeContext& context, Millis opened_at);

// Records the first event of a stream, once the list confirms its origin.
// Thread safety: use from the traffic thread.
void RecordOrigin(ExchangeContext& context, const UnconfirmedOrigin& origin);
// Records the origins that the list confirms by now. Call it several times a
// second. Thread safety: use from the traffic thread.
void ConfirmOrigins(ExchangeContext& context);

// @return whether the route leads to the group. Thread safety: safe.
bool LeadsTo(const route::Route& route, const GroupId& group);

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_TAKE_UP_H_
