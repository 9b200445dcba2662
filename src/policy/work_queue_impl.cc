#include "src/policy/work_queue_impl.h"

#include <cassert>
#include <cmath>

namespace bergamotscale::policy {

namespace {

constexpr double kIntervalGain = 0.1;
// Lower tiers don't start while this many requests have no first token.
constexpr size_t kMaxBeforeFirstToken = 1;
// A lower tier goes first only if the slack of the higher tier is this many
// times the expected time to start the requests ahead.
constexpr double kSlackMargin = 2;
// Prompt tokens that cost as much as one output token.
constexpr double kPromptTokensPerOutputToken = 16;
constexpr double kWorkDecayMillis = 4000;
// Bounds on the credit of a class, in requests.
constexpr double kMaxCreditItems = 4;
constexpr double kMinCreditItems = -4;

}  // namespace

double WorkOf(const QueueItem& item) {
  const double prompt = static_cast<double>(item.prompt_tokens_.count());
  const double output = static_cast<double>(item.expected_output_.count());
  return std::max(1.0, output + prompt / kPromptTokensPerOutputToken);
}

int WorkQueue::Impl::LaneOf(const ClassId& class_id, Tier tier, bool suspect) {
  const auto found = lane_of_class_.find(class_id);
  if (found != lane_of_class_.end()) {
    return found->second[suspect ? 1 : 0];
  }
  const int first = static_cast<int>(lanes_.size());
  lane_of_class_[class_id] = {first, first + 1};
  for (const bool suspects : {false, true}) {
    lanes_.push_back(
        std::make_unique<QueueLane>(class_id, tier, suspects, &memory_));
    by_tier_.push_back(lanes_.back().get());
  }
  RankLanes();
  return first + (suspect ? 1 : 0);
}

const QueueLane* WorkQueue::Impl::FindLane(const ClassId& class_id,
                                           bool suspect) const {
  const auto found = lane_of_class_.find(class_id);
  if (found == lane_of_class_.end()) {
    return nullptr;
  }
  return lanes_[found->second[suspect ? 1 : 0]].get();
}

// Orders the lanes by tier and assigns each its rank.
void WorkQueue::Impl::RankLanes() {
  std::stable_sort(by_tier_.begin(), by_tier_.end(),
                   [](const QueueLane* a, const QueueLane* b) {
                     return a->tier_ < b->tier_;
                   });
  for (QueueLane* lane : by_tier_) {
    const auto above =
        std::lower_bound(tiers_.begin(), tiers_.end(), lane->tier_);
    lane->rank_ = static_cast<int>(above - tiers_.begin());
  }
}

// Moves the requests that can no longer be on time behind those that can.
void WorkQueue::Impl::MoveLateRequests(Millis now) {
  const int64_t horizon =
      now.count() + static_cast<int64_t>(first_token_estimate_);
  for (const std::unique_ptr<QueueLane>& lane : lanes_) {
    while (!lane->on_time_.empty()) {
      const QueueKey key = *lane->on_time_.begin();
      if (key.due_ >= horizon || entries_.at(key.handle_).item_.resumed_) {
        break;
      }
      lane->late_.insert(lane->on_time_.extract(lane->on_time_.begin()));
    }
  }
}

int WorkQueue::Impl::LimitOf(const QueueLane& lane,
                             const SlotLimits& limits) const {
  if (lane.rank_ == 0) {
    return limits.limit_ + limits.urgent_extra_;
  }
  if (before_first_token_.size() >= kMaxBeforeFirstToken) {
    return 0;
  }
  return limits.limit_ + (lane.rank_ == 1 ? limits.urgent_extra_ / 2 : 0);
}

double WorkQueue::Impl::SlackOf(const QueueLane& lane, Millis now) const {
  if (lane.on_time_.empty()) {
    return kInfiniteMillis;
  }
  return static_cast<double>(lane.Head().due_ - now.count()) -
         first_token_estimate_;
}

// @return the lane with the least slack, weighted by tier, among those whose
// start does not make a higher tier late; null if none may start.
QueueLane* WorkQueue::Impl::NextByTier(Millis now, const SlotLimits& limits) {
  const int counted = CountTowardsLimit(limits);
  QueueLane* next = nullptr;
  double least = kInfiniteMillis;
  double ahead = 0;
  bool urgent_above = false;
  for (size_t i = 0; i < by_tier_.size(); ++i) {
    QueueLane* lane = by_tier_[i];
    if (urgent_above && next != nullptr && next->tier_ < lane->tier_) {
      break;
    }
    if (CannotStart(*lane) || counted >= LimitOf(*lane, limits)) {
      continue;
    }
    ahead += static_cast<double>(lane->size());
    const double slack = SlackOf(*lane, now);
    const double weighted = slack * static_cast<double>(lane->tier_.value());
    if (next == nullptr || weighted < least) {
      next = lane;
      least = weighted;
    }
    const bool can_wait =
        lane->late_.empty() && slack > kSlackMargin * interval_ * (ahead + 1);
    urgent_above = urgent_above || !can_wait;
  }
  return next;
}

// @return the lane with the most credit, in requests; null if none has enough
// or the floor limit is reached.
QueueLane* WorkQueue::Impl::NextByFloor(const SlotLimits& limits) {
  if (floor_running_ >= limits.floor_extra_) {
    return nullptr;
  }
  QueueLane* next = nullptr;
  double most = 1;
  for (QueueLane* lane : by_tier_) {
    if (CannotStart(*lane)) {
      continue;
    }
    const QueueItem& head = entries_.at(lane->Head().handle_).item_;
    const double owed = lane->credit_ / WorkOf(head);
    if (owed >= most) {
      next = lane;
      most = owed;
    }
  }
  return next;
}

// Credits each waiting class with its floor share of the work about to start.
void WorkQueue::Impl::AddFloorCredit(double work) {
  for (QueueLane* lane : by_tier_) {
    if (lane->empty()) {
      lane->credit_ = std::min(lane->credit_, 0.0);
      continue;
    }
    if (lane->floor_ <= 0) {
      continue;
    }
    const QueueItem& head = entries_.at(lane->Head().handle_).item_;
    lane->credit_ = std::min(lane->credit_ + work * lane->floor_,
                             kMaxCreditItems * WorkOf(head));
  }
}

void WorkQueue::Impl::CountStart(QueueLane& lane, const QueueItem& item) {
  before_first_token_.insert(item.handle_);
  ++lane.running_;
  ++running_;
  floor_running_ += item.by_floor_ ? 1 : 0;
  suspects_running_ += item.suspect_ ? 1 : 0;
}

void WorkQueue::Impl::CountEnd(const QueueItem& item, double credit_change) {
  const int index = LaneOf(item.class_, item.tier_, item.suspect_);
  QueueLane& lane = *lanes_[index];
  assert(running_ > 0 && lane.running_ > 0);
  before_first_token_.erase(item.handle_);
  --lane.running_;
  --running_;
  floor_running_ -= item.by_floor_ ? 1 : 0;
  suspects_running_ -= item.suspect_ ? 1 : 0;
  const double least = kMinCreditItems * WorkOf(item);
  lane.credit_ = std::max(lane.credit_ + credit_change, least);
}

QueueItem WorkQueue::Impl::Remove(uint64_t handle, Millis now) {
  const auto found = entries_.find(handle);
  assert(found != entries_.end());
  QueueEntry entry = std::move(found->second);
  entries_.erase(found);
  QueueLane& lane = *lanes_[entry.lane_];
  if (lane.on_time_.erase(entry.key_) == 0) {
    lane.late_.erase(entry.key_);
  }
  by_deadline_.erase(QueueKey{entry.item_.deadline_.count(), handle});
  if (lane.empty()) {
    lane.departures_.StopWaiting(now);
  }
  if (entries_.empty()) {
    starts_.StopWaiting(now);
  }
  return std::move(entry.item_);
}

void WorkQueue::Impl::RecordDeparture(QueueLane& lane, Millis now) {
  lane.departures_.RecordDeparture(now);
}

// Updates the rates at which requests and work start.
void WorkQueue::Impl::RecordStart(QueueLane& lane, double work, Millis now) {
  const double since = static_cast<double>((now - last_pop_).count());
  interval_ = MovingAverage(interval_, since, kIntervalGain);
  recent_work_ = recent_work_ * std::exp(-since / kWorkDecayMillis) + work;
  lane.mean_work_ = lane.mean_work_ == 0
                        ? work
                        : MovingAverage(lane.mean_work_, work, kIntervalGain);
  last_pop_ = now;
  starts_.RecordDeparture(now);
  RecordDeparture(lane, now);
}

// @return the estimated time until a new request of the lane may start on its
// floor share, in ms.
double WorkQueue::Impl::FloorWait(const QueueLane& lane) const {
  const double rate = recent_work_ / kWorkDecayMillis * lane.floor_;
  if (rate <= 0) {
    return kInfiniteMillis;
  }
  const double ahead = static_cast<double>(lane.on_time_.size() + 1);
  return std::max(0.0, ahead * lane.mean_work_ - lane.credit_) / rate;
}

}  // namespace bergamotscale::policy
