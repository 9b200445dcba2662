#include "src/policy/kept_upstreams.h"

#include <algorithm>
#include <cmath>

namespace bergamotscale::policy {

namespace {

// Share of the kept slots that the tight classes may use before another
// upstream is kept, and below which one is let go.
constexpr double kMostUsed = 0.85;
constexpr double kLeastUsed = 0.75;
// Part by which a mean moves towards a sample.
constexpr double kMeanGain = 0.2;
// So many updates in a row must find room before an upstream is let go.
constexpr int kUpdatesToLetGo = 5;
// An upstream that isn't kept takes tight classes below this part of the
// slots of a kept one.
constexpr double kSmallBatch = 0.7;
// A tight class looks beyond the kept upstreams when it would wait there for
// its first-token target divided by this.
constexpr int64_t kPatienceDivisor = 2;
// Times the median time between tokens that make a straggler.
constexpr int64_t kStragglerFactor = 2;

// @return the mean moved towards a sample; the first sample is the mean.
double Mean(double mean, double sample) {
  return mean == 0 ? sample : mean + (sample - mean) * kMeanGain;
}

int64_t MedianGap(const std::vector<UpstreamView>& views,
                  const std::vector<int>& indices) {
  std::vector<int64_t> gaps;
  for (const int index : indices) {
    if (views[index].between_tokens_.count() > 0) {
      gaps.push_back(views[index].between_tokens_.count());
    }
  }
  if (gaps.empty()) {
    return 0;
  }
  const auto middle = gaps.begin() + static_cast<ptrdiff_t>(gaps.size()) / 2;
  std::nth_element(gaps.begin(), middle, gaps.end());
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

void KeptUpstreams::Configure(const std::vector<ServiceClass>& classes) {
  tight_ = FindTightClasses(classes);
  patience_.clear();
  for (const ServiceClass& each : classes) {
    patience_[each.name_] = each.first_token_ / kPatienceDivisor;
  }
}

void KeptUpstreams::Update(const std::vector<UpstreamView>& views) {
  Collect(views);
  kept_.clear();
  for (auto& [id, group] : groups_) {
    Adapt(views, &group);
    for (const int index : group.kept_) {
      kept_.insert(views[index].sidecar_);
    }
  }
}

// Finds the usable upstreams of each group that are no stragglers. A group
// that writes no tokens has no batch to keep.
void KeptUpstreams::Collect(const std::vector<UpstreamView>& views) {
  for (auto& [id, group] : groups_) {
    group.usable_.clear();
  }
  for (size_t i = 0; i < views.size(); ++i) {
    if (views[i].usable_) {
      groups_[views[i].group_].usable_.push_back(static_cast<int>(i));
    }
  }
  for (auto& [id, group] : groups_) {
    const int64_t median = MedianGap(views, group.usable_);
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

// @return slots that the tight classes use, or would use at once.
double KeptUpstreams::Demand(const std::vector<UpstreamView>& views,
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

void KeptUpstreams::Adapt(const std::vector<UpstreamView>& views,
                          Group* group) const {
  const double slots = MedianSlots(views, group->kept_);
  group->slots_ = Mean(group->slots_, slots);
  group->demand_ = Mean(group->demand_, Demand(views, *group));
  if (group->slots_ > 0) {
    const double needed = group->demand_ / group->slots_;
    const int most = static_cast<int>(std::ceil(needed / kMostUsed));
    const int least = static_cast<int>(std::ceil(needed / kLeastUsed));
    const bool room = least < group->count_;
    group->updates_with_room_ = room ? group->updates_with_room_ + 1 : 0;
    if (most > group->count_) {
      group->count_ = most;
    } else if (group->updates_with_room_ >= kUpdatesToLetGo) {
      group->updates_with_room_ = 0;
      --group->count_;
    }
  }
  const int usable = static_cast<int>(group->usable_.size());
  group->count_ = std::max(1, std::min(group->count_, std::max(usable, 1)));
  group->kept_.assign(group->usable_.begin(),
                      group->usable_.begin() + std::min(group->count_, usable));
}

bool KeptUpstreams::Restricts(const ClassId& name) const {
  return tight_.differ() && tight_.Contains(name) && !kept_.empty();
}

Millis KeptUpstreams::PatienceOf(const ClassId& name) const {
  const auto found = patience_.find(name);
  return found == patience_.end() ? Millis(0) : found->second;
}

bool KeptUpstreams::MayRun(const UpstreamView& view) const {
  if (kept_.count(view.sidecar_) > 0) {
    return true;
  }
  const auto found = groups_.find(view.group_);
  if (found == groups_.end() || found->second.kept_.empty()) {
    return true;
  }
  return view.running_ < kSmallBatch * found->second.slots_;
}

const std::vector<int>& KeptUpstreams::IndicesOf(const GroupId& group) const {
  static const std::vector<int> kNone;
  const auto found = groups_.find(group);
  return found == groups_.end() ? kNone : found->second.kept_;
}

}  // namespace bergamotscale::policy
