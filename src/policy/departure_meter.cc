#include "src/policy/departure_meter.h"

#include <algorithm>

namespace bergamotscale::policy {

void DepartureMeter::StartWaiting(Millis now) {
  if (!is_waiting_) {
    is_waiting_ = true;
    waiting_since_ = now;
  }
}

void DepartureMeter::StopWaiting(Millis now) {
  busy_time_ = BusyTime(now);
  is_waiting_ = false;
}

void DepartureMeter::RecordDeparture(Millis now) {
  departures_[next_] = BusyTime(now);
  next_ = (next_ + 1) % kDepartures;
  count_ = std::min(count_ + 1, kDepartures);
}

Millis DepartureMeter::BusyTime(Millis now) const {
  return is_waiting_ ? busy_time_ + (now - waiting_since_) : busy_time_;
}

double DepartureMeter::Interval(Millis now) const {
  if (count_ == 0) {
    return 0;
  }
  const size_t oldest = count_ < kDepartures ? 0 : next_;
  const Millis since = BusyTime(now) - departures_[oldest];
  return static_cast<double>(since.count()) / static_cast<double>(count_);
}

}  // namespace bergamotscale::policy
