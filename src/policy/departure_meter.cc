#include "src/policy/departure_meter.h"

#include <algorithm>

namespace bergamotscale::policy {

void DepartureMeter::Open(Millis now) {
  if (!open_) {
    open_ = true;
    opened_ = now;
  }
}

void DepartureMeter::Close(Millis now) {
  busy_ = Busy(now);
  open_ = false;
}

void DepartureMeter::Depart(Millis now) {
  departures_[next_] = Busy(now);
  next_ = (next_ + 1) % kDepartures;
  count_ = std::min(count_ + 1, kDepartures);
}

Millis DepartureMeter::Busy(Millis now) const {
  return open_ ? busy_ + (now - opened_) : busy_;
}

double DepartureMeter::Interval(Millis now) const {
  if (count_ == 0) {
    return 0;
  }
  const size_t oldest = count_ < kDepartures ? 0 : next_;
  const Millis since = Busy(now) - departures_[oldest];
  return static_cast<double>(since.count()) / static_cast<double>(count_);
}

}  // namespace bergamotscale::policy
