#include "bergamotscale/clock.h"

#include <chrono>
#include <utility>

namespace bergamotscale {
namespace {

template <typename StdClock>
Millis ReadStdClock() {
  const auto since_epoch = StdClock::now().time_since_epoch();
  return Millis(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count());
}

}  // namespace

Clock::Clock(Source source) : source_(std::move(source)) {}

Clock Clock::Steady() {
  return Clock(&ReadStdClock<std::chrono::steady_clock>);
}

Clock Clock::Wall() {
  return Clock(&ReadStdClock<std::chrono::system_clock>);
}

Millis Clock::Now() const {
  return source_();
}

}  // namespace bergamotscale
