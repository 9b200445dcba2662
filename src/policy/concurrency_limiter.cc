#include "src/policy/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

namespace bergamotscale::policy {

namespace {

constexpr int64_t kWindowMillis = 400;
constexpr int64_t kMinWindowTokens = 8;
constexpr double kGapGain = 0.4;
constexpr double kStartAim = 0.8;
constexpr double kLeastAim = 0.55;
constexpr double kMostAim = 0.95;
// An answer beyond the target lowers the aim by one step; the aim stays where
// it is if this share of answers are.
constexpr double kAimStep = 0.02;
constexpr double kMissedShare = 0.003;
// Targets whose aims are remembered.
constexpr size_t kMaxAims = 8;
// Least and greatest change of the limit in one window.
constexpr double kMostShrink = 0.75;
constexpr double kMostGrowth = 1.15;
constexpr int kPercent = 100;
// The limit grows only if it was used to within this many slots.
constexpr int kUnusedSlots = 1;

int PartOf(int limit, int percent) {
  return std::max(1, (limit * percent + kPercent / 2) / kPercent);
}

}  // namespace

ConcurrencyLimiter::ConcurrencyLimiter(ConcurrencyLimiterOptions options)
    : options_(options),
      limit_(std::clamp(options.initial_, 1, std::max(1, options.max_))) {}

void ConcurrencyLimiter::SetTarget(Millis between_tokens) {
  target_ = between_tokens;
}

void ConcurrencyLimiter::SetFloors(int percent) {
  floor_percent_ = std::clamp(percent, 0, kPercent);
}

void ConcurrencyLimiter::ObserveChunk(Millis now,
                                      Tokens tokens,
                                      Millis elapsed,
                                      int running) {
  if (tokens.count() <= 0) {
    return;
  }
  if (!window_open_) {
    window_open_ = true;
    window_start_ = now;
  }
  window_tokens_ += tokens.count();
  window_elapsed_ += elapsed.count();
  window_peak_running_ = std::max(window_peak_running_, running);
  const bool long_enough = (now - window_start_).count() >= kWindowMillis;
  if (long_enough && window_tokens_ >= kMinWindowTokens) {
    CloseWindow(now);
  }
}

void ConcurrencyLimiter::ObserveAnswer(double between_tokens, Millis target) {
  // Answers of classes with more time say nothing about the tightest.
  if (between_tokens <= 0 || target != target_) {
    return;
  }
  const bool missed = between_tokens > static_cast<double>(target.count());
  const double step = missed ? -kAimStep : kAimStep * kMissedShare;
  double& aim = AimOf(target_).aim_;
  aim = std::clamp(aim + step, kLeastAim, kMostAim);
}

ConcurrencyLimiter::TargetAim& ConcurrencyLimiter::AimOf(Millis target) {
  const auto found = std::find_if(
      aims_.begin(), aims_.end(),
      [target](const TargetAim& each) { return each.target_ == target; });
  if (found != aims_.end()) {
    return *found;
  }
  // Few targets are ever configured; the oldest is forgotten.
  if (aims_.size() >= kMaxAims) {
    aims_.erase(aims_.begin());
  }
  aims_.push_back(TargetAim{target, kStartAim});
  return aims_.back();
}

void ConcurrencyLimiter::ObserveRefusal(int running) {
  limit_ = std::clamp(running, 1, limit_);
}

Millis ConcurrencyLimiter::between_tokens() const {
  return Millis(std::lround(mean_gap_));
}

SlotLimits ConcurrencyLimiter::Limits() const {
  SlotLimits limits;
  limits.limit_ = limit_;
  limits.urgent_extra_ = PartOf(limit_, options_.urgent_percent_);
  limits.floor_extra_ = PartOf(limit_, floor_percent_);
  return limits;
}

// Moves the limit in proportion to how far the mean gap is from its aim.
void ConcurrencyLimiter::CloseWindow(Millis now) {
  const double gap = static_cast<double>(window_elapsed_) /
                     static_cast<double>(window_tokens_);
  mean_gap_ = mean_gap_ == 0 ? gap : mean_gap_ + (gap - mean_gap_) * kGapGain;
  const int peak = window_peak_running_;
  window_start_ = now;
  window_tokens_ = 0;
  window_elapsed_ = 0;
  window_peak_running_ = 0;
  if (target_.count() <= 0 || mean_gap_ <= 0) {
    return;
  }
  const double aim = AimOf(target_).aim_ * static_cast<double>(target_.count());
  const double factor = std::clamp(aim / mean_gap_, kMostShrink, kMostGrowth);
  if (factor >= 1 && peak + kUnusedSlots < limit_) {
    return;
  }
  // Rounding down keeps the limit still near its aim and still lets it grow.
  const double from = factor < 1 ? std::min(limit_, std::max(peak, 1)) : limit_;
  int moved = static_cast<int>(std::floor(from * factor + 0.25));
  if (factor >= kMostGrowth) {
    // Rounding must not hold a small limit down.
    moved = std::max(moved, limit_ + 1);
  }
  limit_ = std::clamp(moved, 1, std::max(1, options_.max_));
}

}  // namespace bergamotscale::policy
