#include "src/policy/batch_target.h"

#include <algorithm>

namespace bergamotscale::policy {

namespace {

// The tight target is held after the last tight request for this time, or for
// this many mean intervals between such requests, if the mean interval is at
// most kMaxIntervalMillis.
constexpr Millis kMinHoldTime = Millis(1000);
constexpr double kHoldIntervals = 5;
constexpr double kMaxIntervalMillis = 5000;
constexpr double kIntervalGain = 0.2;

}  // namespace

bool TightClasses::Contains(const ClassId& name) const {
  return std::find(names_.begin(), names_.end(), name) != names_.end();
}

TightClasses FindTightClasses(const std::vector<ServiceClass>& classes) {
  TightClasses tight;
  for (const ServiceClass& each : classes) {
    if (tight.names_.empty() || each.between_tokens_ < tight.target_) {
      tight.target_ = each.between_tokens_;
      tight.names_.clear();
    }
    if (each.between_tokens_ == tight.target_) {
      tight.names_.push_back(each.name_);
    }
  }
  tight.next_target_ = tight.target_;
  for (const ServiceClass& each : classes) {
    const bool tightest = each.between_tokens_ == tight.target_;
    const bool first = tight.next_target_ == tight.target_;
    if (!tightest && (first || each.between_tokens_ < tight.next_target_)) {
      tight.next_target_ = each.between_tokens_;
    }
  }
  return tight;
}

void BatchTarget::Configure(const std::vector<ServiceClass>& classes) {
  tight_ = FindTightClasses(classes);
  last_present_.reset();
  present_ = false;
  interval_ = kMaxIntervalMillis * 2;
}

Millis BatchTarget::HoldTime() const {
  if (interval_ > kMaxIntervalMillis) {
    return kMinHoldTime;
  }
  const auto hold_time = static_cast<int64_t>(interval_ * kHoldIntervals);
  return std::max(kMinHoldTime, Millis(hold_time));
}

// Measures the intervals in which no tight request is present.
void BatchTarget::ObservePresence(bool present, Millis now) {
  if (present && !present_ && last_present_.has_value()) {
    const auto sample = static_cast<double>((now - *last_present_).count());
    interval_ += (sample - interval_) * kIntervalGain;
  }
  present_ = present;
  if (present || !last_present_.has_value()) {
    last_present_ = now;
  }
}

Millis BatchTarget::UpdateTarget(const WorkQueue& queue, Millis now) {
  const bool present = std::any_of(
      tight_.names_.begin(), tight_.names_.end(), [&](const ClassId& name) {
        return queue.SizeOf(name) > 0 || queue.RunningOf(name) > 0;
      });
  ObservePresence(present, now);
  return now - *last_present_ <= HoldTime() ? tight_.target_
                                            : tight_.next_target_;
}

}  // namespace bergamotscale::policy
