#include "src/policy/instance_health.h"

#include <algorithm>
#include <cmath>

namespace bergamotscale::policy {
namespace {

// Weight of the latest call: five failures in a row raise the share to 0.67.
constexpr double kLatestWeight = 0.2;
// Time without calls in which the share halves.
constexpr double kHalfLifeMs = 3'000;
// Pause after the first failed connection; doubles with each further one up to
// the longest.
constexpr Millis kFirstPause = Millis(250);
constexpr Millis kMaxPause = Millis(1'000);

double Decayed(double share, Millis since) {
  return share *
         std::exp2(-static_cast<double>(std::max<int64_t>(since.count(), 0)) /
                   kHalfLifeMs);
}

}  // namespace

void InstanceHealth::Decay(Millis now) {
  share_ = Decayed(share_, now - updated_);
  updated_ = now;
}

void InstanceHealth::OnSuccess(Millis now) {
  Decay(now);
  share_ *= 1 - kLatestWeight;
  consecutive_unreachable_ = 0;
  paused_until_ = Millis(0);
}

void InstanceHealth::OnFailure(Millis now) {
  Decay(now);
  share_ += (1 - share_) * kLatestWeight;
}

void InstanceHealth::OnUnreachable(Millis now) {
  OnFailure(now);
  const int doublings = std::min(consecutive_unreachable_, 2);
  ++consecutive_unreachable_;
  paused_until_ =
      now + std::min(kFirstPause * (int64_t{1} << doublings), kMaxPause);
}

double InstanceHealth::FailureShare(Millis now) const {
  return Decayed(share_, now - updated_);
}

bool InstanceHealth::IsPaused(Millis now) const {
  return now < paused_until_;
}

}  // namespace bergamotscale::policy
