#include "src/policy/load_forecast.h"

#include <algorithm>
#include <cmath>

namespace bergamotscale::policy {
namespace {

// Reports newer than the first are taken as they are. Prompts of 3,000 to 6,000
// tokens take an engine 50 to 120 ms.
constexpr double kFreshMs = 40;
constexpr double kStaleMs = 100;
// Time constant of the mean.
constexpr double kMeanTimeMs = 1'500;
// Weight of the mean load in the random part of the cost. Engines that many
// gateways prefer at once must get as expensive as the prefill of a shared part
// now and then, or they stay overloaded. See docs/design/even-load.md.
constexpr double kUnseenWeight = 8;

}  // namespace

double ComputeStaleness(Millis mean_age) {
  return std::clamp((static_cast<double>(mean_age.count()) - kFreshMs) /
                        (kStaleMs - kFreshMs),
                    0.0, 1.0);
}

void LoadForecast::OnReported(double unread_tokens, Millis now) {
  const Millis elapsed = now - updated_at_.value_or(now);
  if (!updated_at_.has_value()) {
    mean_ = unread_tokens;
  }
  updated_at_ = now;
  mean_ += (unread_tokens - mean_) *
           (1 - std::exp(-static_cast<double>(elapsed.count()) / kMeanTimeMs));
}

double LoadForecast::Estimate(double unread_tokens,
                              double tokens_per_ms,
                              Millis mean_age,
                              double staleness) const {
  if (!updated_at_.has_value()) {
    return unread_tokens;
  }
  const double bound =
      tokens_per_ms * static_cast<double>(mean_age.count()) * staleness;
  return unread_tokens + std::clamp(mean_ - unread_tokens, -bound, bound);
}

double LoadForecast::Unseen(double staleness) const {
  return kUnseenWeight * staleness * mean_;
}

}  // namespace bergamotscale::policy
