// How many servers of a service each zone needs.
#ifndef BERGAMOTSCALE_SRC_DUTIES_SCALE_PLAN_H_
#define BERGAMOTSCALE_SRC_DUTIES_SCALE_PLAN_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::duties {

// The work that arrived for a service in a zone during the last second or so,
// measured before any queue and including requests that were refused. One unit
// keeps one server busy.
struct ServiceDemand {
  GroupId service_;
  ZoneId zone_;
  double busy_servers_ = 0;
};

// Sets the number of servers of a service in a zone.
struct ScaleOrder {
  GroupId service_;
  ZoneId zone_;
  int desired_ = 0;
};

// `autoscale` of a service in the configuration; the counts are per zone.
struct ScaleLimits {
  int min_replicas_ = 0;
  int max_replicas_ = 0;
  Millis boot_;  // from an order until the new server serves
};

// A service in one zone.
struct ZoneLoad {
  ZoneId zone_;
  double busy_servers_ = 0;  // demand, see ServiceDemand
  int running_ = 0;          // servers that take new requests
  int leaving_ = 0;          // servers that only finish what they have
  // Whether the zone is being drained: other zones have to take its requests.
  bool is_draining_ = false;
};

// What PlanReplicas() remembers of a service between calls. A new holder starts
// without it.
struct ScaleMemory {
  struct Zone {
    Millis known_since_;
    // Demand by time, with falling demand only: the front is the peak.
    std::deque<std::pair<Millis, double>> peaks_;
    // Without extra_.
    int desired_ = 0;
    // Since when fewer servers would have been enough.
    std::optional<Millis> excess_since_;
    // Since when fewer servers than ordered are running.
    std::optional<Millis> short_since_;
    // Ordered in addition while leaving servers seem to count as desired ones.
    int extra_ = 0;
  };
  std::map<ZoneId, Zone> zones_;
};

// Plans one service. Bursts that return within kPeakTime find the servers that
// the last one needed. Servers are added at once, and removed one at a time
// after kExcessTime without need. Demand beyond the limit of a zone, or of a
// zone that is being drained, is planned for in the other zones. A draining
// zone keeps its servers until those are ready. Call about once a second.
// @param now of a monotonic clock.
// @return the number of servers that each zone should have, within the limits.
// Thread safety: safe for different memories.
std::map<ZoneId, int> PlanReplicas(const std::vector<ZoneLoad>& zones,
                                   const ScaleLimits& limits,
                                   Millis now,
                                   ScaleMemory* memory);

// Bursts return every 11 to 17 s; the servers for one are kept for the next.
inline constexpr Millis kPeakTime = Millis(20'000);
inline constexpr Millis kExcessTime = Millis(5'000);
// Share of a server's capacity that demand may use. The rest absorbs variation
// within a second.
inline constexpr double kTargetLoad = 0.7;

}  // namespace bergamotscale::duties

#endif  // BERGAMOTSCALE_SRC_DUTIES_SCALE_PLAN_H_
