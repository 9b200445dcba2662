// Requests that wait because all upstreams of their group are limited.
#ifndef BERGAMOTSCALE_SRC_POLICY_RATE_QUEUE_H_
#define BERGAMOTSCALE_SRC_POLICY_RATE_QUEUE_H_

#include <map>
#include <memory>
#include <optional>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// The rate at which a gateway may send to a group whose upstreams are all
// limited.
struct RateForecast {
  // Zero if only other gateways use the limits.
  double own_per_second_ = 0;
  // What an average gateway uses.
  double mean_per_second_ = 0;
  // Until the next request may be sent; not known if the own rate is zero.
  std::optional<Millis> next_in_;
};

// Decides which requests wait for their turn and when rejected ones should
// return. It answers a demand far above the limits of all upstreams: only
// requests that can be served in time wait, and those that are rejected are
// told different times, so that they don't return together.
// Thread safety: none.
class RateQueue {
 public:
  // Longer waits are not suggested.
  static constexpr Millis kMaxReturn = Millis(30'000);

  // Counts a waiting request while it exists. Must not outlive the queue.
  class Ticket {
   public:
    Ticket(RateQueue& queue, GroupId group, int priority);
    ~Ticket();
    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;

   private:
    RateQueue& queue_;
    const GroupId group_;
    const int priority_;
  };

  // @param priority 0 is the most urgent.
  // @return until a request that arrives now can be sent, behind those that
  // are at least as urgent; nothing if it should not wait at all.
  std::optional<Millis> ExpectedWait(const GroupId& group,
                                     int priority,
                                     const RateForecast& forecast) const;

  // @return whether requests wait that are at least as urgent.
  bool HasWaiting(const GroupId& group, int priority) const;

  // @return when a rejected request should return.
  Millis ReserveReturn(const GroupId& group,
                       const RateForecast& forecast,
                       Millis now);

 private:
  // @return the number of waiting requests that are at least as urgent.
  int CountAhead(const GroupId& group, int priority) const;

  struct Group {
    std::map<int, int> waiting_;  // number of requests by priority
    Millis last_return_;
  };

  std::map<GroupId, Group> groups_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_RATE_QUEUE_H_
