// State that the control thread publishes and the traffic thread reads.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_CONTROL_STATE_H_
#define BERGAMOTSCALE_SRC_GATEWAY_CONTROL_STATE_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

#include "bergamotscale/units.h"
#include "src/core/blackboard.h"
#include "src/route/directory.h"
#include "src/route/route_table.h"

namespace bergamotscale::gateway {

// Holds the newest route table and upstream list and how current they are.
// Thread safety: safe.
struct ControlState {
  LatestSnapshot<route::RouteTable> table_;
  LatestSnapshot<std::vector<route::UpstreamEntry>> upstreams_;
  // The document of the table, as the log gave it.
  LatestSnapshot<std::string> document_;
  // The newest version that a peer has had in force; zero if unknown.
  std::atomic<int64_t> peer_version_{0};
  // Time of the boot clock up to which the table and the upstreams include
  // every accepted change, in milliseconds; negative before the first read.
  std::atomic<int64_t> table_as_of_{-1};
  std::atomic<int64_t> upstreams_as_of_{-1};
  // Upstreams whose registration has expired in an outage, of those above.
  std::atomic<int> lapsed_upstreams_{0};
  // How often a log that control reads was restored from a copy.
  std::atomic<int> log_restores_{0};

  // @return the time since the table was last confirmed; a day if it never was.
  Millis TableAge(Millis now) const { return Age(table_as_of_.load(), now); }
  // @return the version in force; zero if there is none.
  int64_t Version() const {
    const auto table = table_.Read();
    return table == nullptr ? 0 : table->version();
  }
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
