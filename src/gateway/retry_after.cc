#include "src/gateway/retry_after.h"

#include <algorithm>
#include <cstdio>

namespace bergamotscale::gateway {
namespace {

// Shorter for callers with little time left.
constexpr Millis kRetryAfter = Millis(1'000);
// The wait before a retry is at most a third of the time that is left after it.
constexpr int kRetryAfterShare = 3;
constexpr Millis kRetryAfterStop = Millis(100);

}  // namespace

Millis ChooseRetryAfter(const Rejection& rejection) {
  Millis wait = kRetryAfter;
  if (rejection.is_stopping_) {
    wait = kRetryAfterStop;
  } else if (rejection.may_begin_anew_) {
    wait = Millis(0);
  } else if (rejection.time_left_.has_value()) {
    const Millis share = *rejection.time_left_ / (kRetryAfterShare + 1);
    wait = std::max(std::min(kRetryAfter, share), Millis(0));
  }
  return std::max(wait, rejection.upstream_pause_);
}

std::string FormatSeconds(Millis time) {
  constexpr double kMillisPerSecond = 1'000;
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f",
                static_cast<double>(time.count()) / kMillisPerSecond);
  return text;
}

}  // namespace bergamotscale::gateway
