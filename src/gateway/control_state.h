// The blackboard of a gateway: what control has learnt, read by traffic.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_CONTROL_STATE_H_
#define BERGAMOTSCALE_SRC_GATEWAY_CONTROL_STATE_H_

#include <atomic>
#include <cstdint>
#include <vector>

#include "bergamotscale/units.h"
#include "src/core/blackboard.h"
#include "src/route/directory.h"
#include "src/route/route_table.h"

namespace bergamotscale::gateway {

// Thread safety: safe.
struct ControlState {
  Slot<route::RouteTable> table_;
  Slot<std::vector<route::UpstreamEntry>> upstreams_;
  // Boot time up to which the table and the upstreams hold all that was
  // accepted; in milliseconds, negative before the first read.
  std::atomic<int64_t> table_as_of_{-1};
  std::atomic<int64_t> upstreams_as_of_{-1};

  // @return how old the newest confirmed table is; a day if there is none.
  Millis TableAge(Millis now) const { return Age(table_as_of_.load(), now); }
  Millis UpstreamsAge(Millis now) const {
    return Age(upstreams_as_of_.load(), now);
  }

 private:
  static Millis Age(int64_t as_of, Millis now) {
    constexpr Millis kNever = Millis(86'400'000);
    return as_of < 0 ? kNever : now - Millis(as_of);
  }
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_CONTROL_STATE_H_
