// The time of day, estimated from the wall clocks of all gateways.
#ifndef BERGAMOTSCALE_SRC_DUTIES_WALL_CLOCK_ESTIMATE_H_
#define BERGAMOTSCALE_SRC_DUTIES_WALL_CLOCK_ESTIMATE_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "bergamotscale/units.h"

namespace bergamotscale::duties {

// The median of the gateways' wall clocks, so that jumps of a minority don't
// matter. All times named `now` are of this gateway's boot clock.
// Thread safety: none.
class WallClockEstimate {
 public:
  // A silent gateway's clock counts this long.
  static constexpr Millis kLifetime = Millis(3'000);
  // Of the clock readings of this time or twice as long, the one that suffered
  // the least delay counts.
  static constexpr Millis kFilterTime = Millis(1'000);
  // A greater difference is not a delay but a jump of the clock, and counts at
  // once.
  static constexpr Millis kMaxDelay = Millis(1'000);
  static constexpr size_t kMaxMembers = 512;

  // Records the wall clock of a member. Call for each datagram received, and
  // regularly with this gateway's own id and clock.
  void OnPeer(uint64_t member, Millis wall, Millis now);
  // Forgets silent members. Call about once a second.
  void Expire(Millis now);

  // @return the estimate of the true time; `now` itself before the first
  // OnPeer(). May step back by the variation of the datagrams' delay, or
  // further while few members are known. If all members have expired, their
  // last estimate goes on.
  Millis Now(Millis now) const;

  // @return the number of members whose clocks count.
  size_t size() const { return members_.size(); }

 private:
  struct Member {
    Millis offset_;           // largest of the current period
    Millis previous_offset_;  // of the period before
    Millis period_start_;
    Millis last_seen_;
  };

  void UpdateMedian();

  std::map<uint64_t, Member> members_;
  Millis median_offset_;
};

}  // namespace bergamotscale::duties

#endif  // BERGAMOTSCALE_SRC_DUTIES_WALL_CLOCK_ESTIMATE_H_
