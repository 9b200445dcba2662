#include "src/policy/instance_health.h"

#include <algorithm>
#include <cmath>

namespace bergamotscale::policy {
namespace {

// Weight of the newest call: five failures in a row take the share to 0.67.
constexpr double kNewestWeight = 0.2;
// In this time without calls half of the share is forgotten.
constexpr double kHalfLifeMs = 3'000;
// Pause after the first failed connection; doubles up to the longest.
constexpr Millis kFirstPause = Millis(250);
constexpr Millis kLongestPause = Millis(1'000);

double Faded(double share, Millis since) {
  return share *
         std::exp2(-static_cast<double>(std::max<int64_t>(since.count(), 0)) /
                   kHalfLifeMs);
}

}  // namespace

void InstanceHealth::Fade(Millis now) {
  share_ = Faded(share_, now - updated_);
  updated_ = now;
}

void InstanceHealth::OnSuccess(Millis now) {
  Fade(now);
  share_ *= 1 - kNewestWeight;
  unreachable_in_row_ = 0;
  paused_until_ = Millis(0);
}

void InstanceHealth::OnFailure(Millis now) {
  Fade(now);
  share_ += (1 - share_) * kNewestWeight;
}

void InstanceHealth::OnUnreachable(Millis now) {
  OnFailure(now);
  const int doublings = std::min(unreachable_in_row_, 2);
  ++unreachable_in_row_;
  paused_until_ =
      now + std::min(kFirstPause * (int64_t{1} << doublings), kLongestPause);
}

double InstanceHealth::FailureShare(Millis now) const {
  return Faded(share_, now - updated_);
}

bool InstanceHealth::IsPaused(Millis now) const {
  return now < paused_until_;
}

}  // namespace bergamotscale::policy
