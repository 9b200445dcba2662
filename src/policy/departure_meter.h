// How fast requests leave a queue while some wait.
#ifndef BERGAMOTSCALE_SRC_POLICY_DEPARTURE_METER_H_
#define BERGAMOTSCALE_SRC_POLICY_DEPARTURE_METER_H_

#include <array>
#include <cstddef>

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// The mean time between the last few departures, counted only while requests
// wait. Departures that come in bunches, as they do after a fresh start, are
// told from a queue that stands still.
// Thread safety: none.
class DepartureMeter {
 public:
  // A request waits from now on; no effect if one did before.
  void Open(Millis now);
  // No request waits any more.
  void Close(Millis now);
  void Depart(Millis now);

  // @return whether any departure was seen.
  bool known() const { return count_ > 0; }
  // @return the mean interval up to now, in ms; 0 if not known.
  double Interval(Millis now) const;

 private:
  static constexpr size_t kDepartures = 16;
  Millis Busy(Millis now) const;

  Millis busy_;  // time in which requests waited, up to opened_
  Millis opened_;
  bool open_ = false;
  // Times of departures, as busy time; the oldest is at next_ once full.
  std::array<Millis, kDepartures> departures_{};
  size_t next_ = 0;
  size_t count_ = 0;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_DEPARTURE_METER_H_
