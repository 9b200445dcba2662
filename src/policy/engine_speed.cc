#include "src/policy/engine_speed.h"

#include <algorithm>
#include <cmath>

namespace bergamotscale::policy {
namespace {

// Shorter prompts say little about the speed.
constexpr Tokens kMinSampleTokens = Tokens(700);
// The fixed part of the time to the first byte (decode steps, network) as the
// number of tokens that an engine prefills in it. It makes samples of short and
// long prompts comparable, so that engines which get only short ones can be
// compared with the others.
constexpr double kFixedTokens = 1'000;
// Waiting behind other prompts makes samples too low, never too high, so the
// estimate follows higher samples faster.
constexpr double kRiseWeight = 0.2;
constexpr double kFallWeight = 0.02;
constexpr double kMinSpeed = 5;
constexpr double kMaxSpeed = 1'000;
constexpr int kMinSamples = 4;
// Speeds relative to the mean from which on an engine counts as fast, and below
// which it no longer does. Learned speeds of equal engines differ by less.
constexpr double kFastFrom = 1.25;
constexpr double kFastUntil = 1.1;

}  // namespace

std::optional<double> EngineSpeed::ComputeSample(Tokens tokens,
                                                 Millis elapsed) {
  if (tokens < kMinSampleTokens || elapsed <= Millis(0)) {
    return std::nullopt;
  }
  return (static_cast<double>(tokens.count()) + kFixedTokens) /
         static_cast<double>(elapsed.count());
}

void EngineSpeed::OnSample(double tokens_per_ms) {
  const double sample = std::clamp(tokens_per_ms, kMinSpeed, kMaxSpeed);
  ++samples_;
  const double weight = std::max(
      sample > tokens_per_ms_ ? kRiseWeight : kFallWeight, 1.0 / samples_);
  tokens_per_ms_ += (sample - tokens_per_ms_) * weight;
}

void EngineSpeed::Compare(double mean_tokens_per_ms, double staleness) {
  relative_ = is_known() && mean_tokens_per_ms > 0
                  ? std::pow(tokens_per_ms_ / mean_tokens_per_ms, staleness)
                  : 1;
  is_fast_ = relative_ >= (is_fast_ ? kFastUntil : kFastFrom);
}

bool EngineSpeed::is_known() const {
  return samples_ >= kMinSamples;
}

double ChooseTokensPerMs(const EngineSpeed& engine,
                         double group_tokens_per_ms,
                         double staleness) {
  if (!engine.is_known() || group_tokens_per_ms <= 0) {
    return group_tokens_per_ms;
  }
  return group_tokens_per_ms *
         std::pow(engine.tokens_per_ms() / group_tokens_per_ms, staleness);
}

}  // namespace bergamotscale::policy
