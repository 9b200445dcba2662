// Converts Millis for the timers of the standard library and Boost.Asio.
#ifndef BERGAMOTSCALE_SRC_CORE_CHRONO_TIME_H_
#define BERGAMOTSCALE_SRC_CORE_CHRONO_TIME_H_

#include <chrono>

#include "bergamotscale/units.h"

namespace bergamotscale {

// @return the duration as a std::chrono type. Thread safety: safe.
inline std::chrono::milliseconds ToChrono(Millis duration) {
  return std::chrono::milliseconds(duration.count());
}

}  // namespace bergamotscale

#endif  // BERGAMOTSCALE_SRC_CORE_CHRONO_TIME_H_
