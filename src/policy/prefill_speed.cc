#include "src/policy/prefill_speed.h"

#include <algorithm>

namespace bergamotscale::policy {
namespace {

// Prompts below this say little about the speed, because the fixed part of the
// time to the first byte is as long as their prefill.
constexpr Tokens kMinSampleTokens = Tokens(6'000);
// Waiting behind other prompts makes samples too low, never too high, so the
// estimate follows higher samples faster.
constexpr double kRiseWeight = 0.3;
constexpr double kFallWeight = 0.03;
constexpr double kMinSpeed = 20;

}  // namespace

void PrefillSpeed::OnFirstByte(Tokens tokens, Millis elapsed) {
  if (tokens < kMinSampleTokens || elapsed <= Millis(0)) {
    return;
  }
  const double sample = std::clamp(static_cast<double>(tokens.count()) /
                                       static_cast<double>(elapsed.count()),
                                   kMinSpeed, kInitial);
  ++samples_;
  const double weight =
      std::max(sample > tokens_per_ms_ ? kRiseWeight : kFallWeight,
               1.0 / (samples_ + 1));
  tokens_per_ms_ += (sample - tokens_per_ms_) * weight;
}

}  // namespace bergamotscale::policy
