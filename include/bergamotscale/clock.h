// Clock, through which all code reads the time.
#ifndef BERGAMOTSCALE_CLOCK_H_
#define BERGAMOTSCALE_CLOCK_H_

#include <functional>

#include "bergamotscale/units.h"

namespace bergamotscale {

// Reads the time in milliseconds from a function, which tests and simulations
// replace by their own.
// Thread safety: safe if the function is; the standard clocks are.
class Clock {
 public:
  // Function that returns the current time in milliseconds.
  using Source = std::function<Millis()>;

  explicit Clock(Source source);

  // @return a monotonic clock with an arbitrary epoch.
  static Clock Steady();

  // @return a monotonic clock that also counts the time during which the
  // machine was suspended. Leases and ages are measured with it.
  static Clock Boot();

  // @return milliseconds since 1970-01-01 UTC; may jump forward or back.
  static Clock Wall();

  // @return the current time. Never fails.
  Millis Now() const;

 private:
  Source source_;
};

}  // namespace bergamotscale

#endif  // BERGAMOTSCALE_CLOCK_H_
