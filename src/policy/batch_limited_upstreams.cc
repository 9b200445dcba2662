#include "src/policy/batch_limited_upstreams.h"

#include <algorithm>
#include <cmath>

namespace bergamotscale::policy {

namespace {

// Utilization of the batch-limited slots by tight classes above which another
// upstream is added, and below which one is released.
constexpr double kMaxUtilization = 0.85;
constexpr double kMinUtilization = 0.75;
// Weight of the latest sample in a moving average.
constexpr double kMeanGain = 0.2;
// The number of consecutive updates with spare slots before an upstream is
// released.
constexpr int kUpdatesToRelease = 5;
// Other upstreams accept tight classes while they run fewer requests than this
// share of the slots of a batch-limited one.
constexpr double kSmallBatchShare = 0.7;
// A tight class may run at any upstream if it would wait at the batch-limited
// ones for longer than its first-token target divided by this.
constexpr int64_t kMaxWaitDivisor = 2;
// An upstream is a straggler if its inter-token latency exceeds the median by
// this factor.
constexpr int64_t kStragglerFactor = 2;

// @return the moving average after a sample; the first sample sets it.
double MovingAverage(double mean, double sample) {
  return mean == 0 ? sample : mean + (sample - mean) * kMeanGain;
}

int64_t MedianTokenInterval(const std::vector<UpstreamView>& views,
                            const std::vector<int>& indices) {
  std::vector<int64_t> intervals;
  for (const int index : indices) {
    if (views[index].between_tokens_.count() > 0) {
      intervals.push_back(views[index].between_tokens_.count());
    }
  }
  if (intervals.empty()) {
    return 0;
  }
  const auto middle =
      intervals.begin() + static_cast<ptrdiff_t>(intervals.size()) / 2;
  std::nth_element(intervals.begin(), middle, intervals.end());
  return *middle;
}

int MedianSlots(const std::vector<UpstreamView>& views,
                const std::vector<int>& indices) {
  std::vector<int> slots;
  slots.reserve(indices.size());
  for (const int index : indices) {
    slots.push_back(views[index].slots_);
  }
  if (slots.empty()) {
    return 0;
  }
  const auto middle =
      slots.begin() + (static_cast<ptrdiff_t>(slots.size()) - 1) / 2;
  std::nth_element(slots.begin(), middle, slots.end());
  return *middle;
}

}  // namespace

void BatchLimitedUpstreams::Configure(
    const std::vector<ServiceClass>& classes) {
  tight_ = FindTightClasses(classes);
  max_waits_.clear();
  for (const ServiceClass& service_class : classes) {
    max_waits_[service_class.name_] =
        service_class.first_token_ / kMaxWaitDivisor;
  }
}

void BatchLimitedUpstreams::Update(const std::vector<UpstreamView>& views) {
  CollectUsable(views);
  batch_limited_.clear();
  for (auto& [id, group] : groups_) {
    AdaptSelection(views, &group);
    for (const int index : group.batch_limited_) {
      batch_limited_.insert(views[index].sidecar_);
    }
  }
}

// Finds the usable upstreams of each group, without stragglers. A group that
// generates no tokens has none, as it has no batch to limit.
void BatchLimitedUpstreams::CollectUsable(
    const std::vector<UpstreamView>& views) {
  for (auto& [id, group] : groups_) {
    group.usable_.clear();
  }
  for (size_t i = 0; i < views.size(); ++i) {
    if (views[i].usable_) {
      groups_[views[i].group_].usable_.push_back(static_cast<int>(i));
    }
  }
  for (auto& [id, group] : groups_) {
    const int64_t median = MedianTokenInterval(views, group.usable_);
    std::vector<int>& usable = group.usable_;
    usable.erase(std::remove_if(usable.begin(), usable.end(),
                                [&](int index) {
                                  return median == 0 ||
                                         views[index].between_tokens_.count() >
                                             median * kStragglerFactor;
                                }),
                 usable.end());
  }
}

// @return the number of slots that the tight classes use.
double BatchLimitedUpstreams::MeasureDemand(
    const std::vector<UpstreamView>& views,
    const Group& group) const {
  double demand = 0;
  for (const int index : group.usable_) {
    for (const ClassWait& load : views[index].class_waits_) {
      if (tight_.Contains(load.class_)) {
        demand += load.running_;
      }
    }
  }
  return demand;
}

void BatchLimitedUpstreams::AdaptSelection(
    const std::vector<UpstreamView>& views,
    Group* group) const {
  const double slots = MedianSlots(views, group->batch_limited_);
  group->slots_ = MovingAverage(group->slots_, slots);
  group->demand_ = MovingAverage(group->demand_, MeasureDemand(views, *group));
  if (group->slots_ > 0) {
    const double needed = group->demand_ / group->slots_;
    const int count_at_max_utilization =
        static_cast<int>(std::ceil(needed / kMaxUtilization));
    const int count_at_min_utilization =
        static_cast<int>(std::ceil(needed / kMinUtilization));
    const bool has_spare = count_at_min_utilization < group->count_;
    group->updates_with_spare_ = has_spare ? group->updates_with_spare_ + 1 : 0;
    if (count_at_max_utilization > group->count_) {
      group->count_ = count_at_max_utilization;
    } else if (group->updates_with_spare_ >= kUpdatesToRelease) {
      group->updates_with_spare_ = 0;
      --group->count_;
    }
  }
  const int usable = static_cast<int>(group->usable_.size());
  group->count_ = std::max(1, std::min(group->count_, std::max(usable, 1)));
  group->batch_limited_.assign(
      group->usable_.begin(),
      group->usable_.begin() + std::min(group->count_, usable));
}

bool BatchLimitedUpstreams::IsRestricted(const ClassId& name) const {
  return tight_.has_looser_classes() && tight_.Contains(name) &&
         !batch_limited_.empty();
}

Millis BatchLimitedUpstreams::GetMaxWait(const ClassId& name) const {
  const auto found = max_waits_.find(name);
  return found == max_waits_.end() ? Millis(0) : found->second;
}

bool BatchLimitedUpstreams::CanRun(const UpstreamView& view) const {
  if (batch_limited_.count(view.sidecar_) > 0) {
    return true;
  }
  const auto found = groups_.find(view.group_);
  if (found == groups_.end() || found->second.batch_limited_.empty()) {
    return true;
  }
  return view.running_ < kSmallBatchShare * found->second.slots_;
}

const std::vector<int>& BatchLimitedUpstreams::GetIndices(
    const GroupId& group) const {
  static const std::vector<int> kNone;
  const auto found = groups_.find(group);
  return found == groups_.end() ? kNone : found->second.batch_limited_;
}

}  // namespace bergamotscale::policy
