#include "bergamotscale/clock.h"

#include <time.h>

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

Millis ReadBootClock() {
  constexpr int64_t kMillisPerSecond = 1000;
  constexpr int64_t kNanosPerMilli = 1'000'000;
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Millis(now.tv_sec * kMillisPerSecond + now.tv_nsec / kNanosPerMilli);
}

}  // namespace

Clock::Clock(Source source) : source_(std::move(source)) {}

Clock Clock::Steady() {
  return Clock(&ReadStdClock<std::chrono::steady_clock>);
}

Clock Clock::Boot() {
  return Clock(&ReadBootClock);
}

Clock Clock::Wall() {
  return Clock(&ReadStdClock<std::chrono::system_clock>);
}

Millis Clock::Now() const {
  return source_();
}

}  // namespace bergamotscale
