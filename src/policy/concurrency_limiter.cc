#include "src/policy/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

namespace bergamotscale::policy {

namespace {

constexpr int64_t kWindowMillis = 400;
constexpr int64_t kMinWindowTokens = 8;
constexpr double kIntervalGain = 0.4;
constexpr double kInitialSetpoint = 0.8;
constexpr double kMinSetpoint = 0.55;
constexpr double kMaxSetpoint = 0.95;
// An answer that misses the target lowers the setpoint by kSetpointStep. An
// answer that meets the target raises it by kSetpointStep * kMissedShare, so
// the setpoint is stable if about kMissedShare of the answers miss the target.
constexpr double kSetpointStep = 0.02;
constexpr double kMissedShare = 0.003;
// Maximum number of targets with a setpoint.
constexpr size_t kMaxSetpoints = 8;
// Bounds of the factor by which the limit changes in one window.
constexpr double kMinFactor = 0.75;
constexpr double kMaxFactor = 1.15;
constexpr int kPercent = 100;
// The limit grows only while at most this many slots are unused.
constexpr int kMaxUnusedSlots = 1;

int RoundPercent(int limit, int percent) {
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
  // Answers of classes with a longer target say nothing about the tightest one.
  if (between_tokens <= 0 || target != target_) {
    return;
  }
  const bool missed = between_tokens > static_cast<double>(target.count());
  const double step = missed ? -kSetpointStep : kSetpointStep * kMissedShare;
  double& setpoint = FindSetpoint(target_).fraction_;
  setpoint = std::clamp(setpoint + step, kMinSetpoint, kMaxSetpoint);
}

ConcurrencyLimiter::Setpoint& ConcurrencyLimiter::FindSetpoint(Millis target) {
  const auto found = std::find_if(
      setpoints_.begin(), setpoints_.end(),
      [target](const Setpoint& each) { return each.target_ == target; });
  if (found != setpoints_.end()) {
    return *found;
  }
  // Few targets are ever configured, so evicting the oldest is enough.
  if (setpoints_.size() >= kMaxSetpoints) {
    setpoints_.erase(setpoints_.begin());
  }
  setpoints_.push_back(Setpoint{target, kInitialSetpoint});
  return setpoints_.back();
}

void ConcurrencyLimiter::ObserveRefusal(int running) {
  limit_ = std::clamp(running, 1, limit_);
}

Millis ConcurrencyLimiter::between_tokens() const {
  return Millis(std::lround(mean_interval_));
}

SlotLimits ConcurrencyLimiter::Limits() const {
  SlotLimits limits;
  limits.limit_ = limit_;
  limits.urgent_extra_ = RoundPercent(limit_, options_.urgent_percent_);
  limits.floor_extra_ = RoundPercent(limit_, floor_percent_);
  return limits;
}

// Changes the limit in proportion to the ratio of the setpoint to the mean
// inter-token latency.
void ConcurrencyLimiter::CloseWindow(Millis now) {
  const double interval = static_cast<double>(window_elapsed_) /
                          static_cast<double>(window_tokens_);
  mean_interval_ =
      mean_interval_ == 0
          ? interval
          : mean_interval_ + (interval - mean_interval_) * kIntervalGain;
  const int peak = window_peak_running_;
  window_start_ = now;
  window_tokens_ = 0;
  window_elapsed_ = 0;
  window_peak_running_ = 0;
  if (target_.count() <= 0 || mean_interval_ <= 0) {
    return;
  }
  const double setpoint =
      FindSetpoint(target_).fraction_ * static_cast<double>(target_.count());
  const double factor =
      std::clamp(setpoint / mean_interval_, kMinFactor, kMaxFactor);
  if (factor >= 1 && peak + kMaxUnusedSlots < limit_) {
    return;
  }
  // Adding 0.25 before rounding down keeps the limit stable near the setpoint,
  // but still lets it grow.
  const double from = factor < 1 ? std::min(limit_, std::max(peak, 1)) : limit_;
  int new_limit = static_cast<int>(std::floor(from * factor + 0.25));
  if (factor >= kMaxFactor) {
    // Rounding must not keep a small limit from growing.
    new_limit = std::max(new_limit, limit_ + 1);
  }
  limit_ = std::clamp(new_limit, 1, std::max(1, options_.max_));
}

}  // namespace bergamotscale::policy
