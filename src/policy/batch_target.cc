#include "src/policy/batch_target.h"

#include <algorithm>

namespace bergamotscale::policy {

namespace {

// For so long after the last tight request the batch stays small, and for so
// many mean intervals between them, if these are no longer than the greatest.
constexpr Millis kLinger = Millis(1000);
constexpr double kLingerIntervals = 5;
constexpr double kMostIntervalMillis = 5000;
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
  seen_.reset();
  here_ = false;
  interval_ = kMostIntervalMillis * 2;
}

Millis BatchTarget::Linger() const {
  if (interval_ > kMostIntervalMillis) {
    return kLinger;
  }
  const auto linger = static_cast<int64_t>(interval_ * kLingerIntervals);
  return std::max(kLinger, Millis(linger));
}

// Learns how often a tight request comes while there is none.
void BatchTarget::Observe(bool here, Millis now) {
  if (here && !here_ && seen_.has_value()) {
    const auto sample = static_cast<double>((now - *seen_).count());
    interval_ += (sample - interval_) * kIntervalGain;
  }
  here_ = here;
  if (here || !seen_.has_value()) {
    seen_ = now;
  }
}

Millis BatchTarget::Follow(const WorkQueue& queue, Millis now) {
  const bool here = std::any_of(
      tight_.names_.begin(), tight_.names_.end(), [&](const ClassId& name) {
        return queue.SizeOf(name) > 0 || queue.RunningOf(name) > 0;
      });
  Observe(here, now);
  return now - *seen_ <= Linger() ? tight_.target_ : tight_.next_target_;
}

}  // namespace bergamotscale::policy
