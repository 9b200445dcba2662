// The rate at which requests leave a queue.
#ifndef BERGAMOTSCALE_SRC_POLICY_DEPARTURE_METER_H_
#define BERGAMOTSCALE_SRC_POLICY_DEPARTURE_METER_H_

#include <array>
#include <cstddef>

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// Measures the mean time between the last few departures, counting only time in
// which requests wait. Averaging over several departures distinguishes bursts
// of departures, as after a restart, from a queue that is stuck. Thread safety:
// none.
class DepartureMeter {
 public:
  // Records that at least one request waits from now on; no effect if one
  // already did.
  void StartWaiting(Millis now);
  // Records that no request waits any longer.
  void StopWaiting(Millis now);
  void RecordDeparture(Millis now);

  // @return whether any departure was recorded.
  bool known() const { return count_ > 0; }
  // @return the mean interval between departures up to now, in ms; 0 if
  // unknown.
  double Interval(Millis now) const;

 private:
  static constexpr size_t kDepartures = 16;
  Millis BusyTime(Millis now) const;

  Millis busy_time_;  // time in which requests waited, up to waiting_since_
  Millis waiting_since_;
  bool is_waiting_ = false;
  // Times of departures, measured in busy time. Once full, the oldest is at
  // next_.
  std::array<Millis, kDepartures> departures_{};
  size_t next_ = 0;
  size_t count_ = 0;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_DEPARTURE_METER_H_
