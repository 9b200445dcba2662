// The one source of time, in milliseconds.
#ifndef BERGAMOTSCALE_CLOCK_H_
#define BERGAMOTSCALE_CLOCK_H_

#include <functional>

#include "bergamotscale/units.h"

namespace bergamotscale {

// Reads time through a hook, so that tests and simulations set it by hand.
// Thread safety: safe when the hook is; the standard clocks are.
class Clock {
 public:
  // Hook that returns the present time in milliseconds.
  using Source = std::function<Millis()>;

  explicit Clock(Source source);

  // @return a clock that never goes back; its zero is arbitrary.
  static Clock Steady();

  // @return a clock that never goes back and that counts the time during which
  // the machine was suspended. Leases and ages are measured by it.
  static Clock Boot();

  // @return milliseconds since 1970-01-01 UTC; it may step.
  static Clock Wall();

  // @return the present time. Never fails.
  Millis Now() const;

 private:
  Source source_;
};

}  // namespace bergamotscale

#endif  // BERGAMOTSCALE_CLOCK_H_
