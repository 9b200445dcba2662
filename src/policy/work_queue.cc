#include "src/policy/work_queue.h"

#include <cassert>
#include <cmath>

#include "src/policy/work_queue_impl.h"

namespace bergamotscale::policy {

namespace {

constexpr double kFirstTokenGain = 0.1;
constexpr double kFirstTokenDeviationFactor = 3;
constexpr double kPercent = 100;

}  // namespace

WorkQueue::WorkQueue() : impl_(std::make_unique<Impl>()) {}
WorkQueue::~WorkQueue() = default;
WorkQueue::WorkQueue(WorkQueue&&) noexcept = default;
WorkQueue& WorkQueue::operator=(WorkQueue&&) noexcept = default;

void WorkQueue::Configure(const std::vector<ServiceClass>& classes) {
  impl_->tiers_.clear();
  for (const std::unique_ptr<QueueLane>& lane : impl_->lanes_) {
    lane->floor_ = 0;
  }
  for (const ServiceClass& service_class : classes) {
    impl_->tiers_.push_back(service_class.tier_);
    for (const bool suspects : {false, true}) {
      const int index =
          impl_->LaneOf(service_class.name_, service_class.tier_, suspects);
      QueueLane& lane = *impl_->lanes_[index];
      lane.tier_ = service_class.tier_;
      lane.floor_ = service_class.floor_percent_ / kPercent;
    }
  }
  std::sort(impl_->tiers_.begin(), impl_->tiers_.end());
  impl_->tiers_.erase(std::unique(impl_->tiers_.begin(), impl_->tiers_.end()),
                      impl_->tiers_.end());
  impl_->RankLanes();
}

void WorkQueue::Push(const QueueItem& item, Millis now) {
  assert(impl_->entries_.count(item.handle_) == 0);
  const int index = impl_->LaneOf(item.class_, item.tier_, item.suspect_);
  QueueLane& lane = *impl_->lanes_[index];
  lane.departures_.StartWaiting(now);
  impl_->starts_.StartWaiting(now);
  // A resumed request sorts before all requests without a first token.
  const int64_t due = item.resumed_ ? std::numeric_limits<int64_t>::min() / 2 +
                                          item.first_token_due_.count()
                                    : item.first_token_due_.count();
  const QueueKey key{due, item.handle_};
  if (impl_->entries_.empty()) {
    impl_->last_pop_ = now;
  }
  impl_->entries_.emplace(item.handle_, QueueEntry{item, index, key});
  lane.on_time_.insert(key);
  impl_->by_deadline_.insert(QueueKey{item.deadline_.count(), item.handle_});
}

bool WorkQueue::Withdraw(uint64_t handle, Millis now) {
  const auto found = impl_->entries_.find(handle);
  if (found == impl_->entries_.end()) {
    return false;
  }
  QueueLane& lane = *impl_->lanes_[found->second.lane_];
  impl_->Remove(handle, now);
  impl_->RecordDeparture(lane, now);
  return true;
}

std::optional<QueueItem> WorkQueue::PopNext(Millis now,
                                            const SlotLimits& limits) {
  if (impl_->entries_.empty()) {
    return std::nullopt;
  }
  impl_->MoveLateRequests(now);
  QueueLane* lane = impl_->NextByTier(now, limits);
  const bool by_floor = lane == nullptr;
  if (by_floor) {
    lane = impl_->NextByFloor(limits);
  }
  if (lane == nullptr) {
    return std::nullopt;
  }
  const uint64_t handle = lane->Head().handle_;
  const double work = WorkOf(impl_->entries_.at(handle).item_);
  impl_->AddFloorCredit(work);
  QueueItem item = impl_->Remove(handle, now);
  item.by_floor_ = by_floor;
  lane->credit_ =
      by_floor ? lane->credit_ - work
               : std::max(lane->credit_ - work, std::min(lane->credit_, 0.0));
  impl_->CountStart(*lane, item);
  impl_->RecordStart(*lane, work, now);
  return item;
}

void WorkQueue::RevertStart(const QueueItem& item) {
  impl_->CountEnd(item, item.by_floor_ ? WorkOf(item) : 0);
}

void WorkQueue::RecordEnd(const QueueItem& item, Tokens output) {
  QueueItem actual = item;
  actual.expected_output_ = output;
  impl_->CountEnd(item, item.by_floor_ ? WorkOf(item) - WorkOf(actual) : 0);
}

QueueItem WorkQueue::MarkSuspect(const QueueItem& item) {
  if (item.suspect_) {
    return item;
  }
  QueueItem marked = item;
  marked.suspect_ = true;
  --impl_->lanes_[impl_->LaneOf(item.class_, item.tier_, false)]->running_;
  ++impl_->lanes_[impl_->LaneOf(item.class_, item.tier_, true)]->running_;
  ++impl_->suspects_running_;
  return marked;
}

void WorkQueue::OnFirstToken(const QueueItem& item, Millis since_start) {
  impl_->before_first_token_.erase(item.handle_);
  const double sample = static_cast<double>(since_start.count());
  const double deviation = std::abs(sample - impl_->first_token_mean_);
  impl_->first_token_mean_ =
      MovingAverage(impl_->first_token_mean_, sample, kFirstTokenGain);
  impl_->first_token_deviation_ =
      MovingAverage(impl_->first_token_deviation_, deviation, kFirstTokenGain);
  impl_->first_token_estimate_ =
      impl_->first_token_mean_ +
      kFirstTokenDeviationFactor * impl_->first_token_deviation_;
}

std::vector<QueueItem> WorkQueue::TakeExpired(Millis now) {
  std::vector<QueueItem> expired;
  while (!impl_->by_deadline_.empty() &&
         impl_->by_deadline_.begin()->due_ <= now.count()) {
    expired.push_back(impl_->Remove(impl_->by_deadline_.begin()->handle_, now));
  }
  return expired;
}

Millis WorkQueue::ExpectedWait(const ClassId& class_id,
                               Millis now,
                               const SlotLimits& limits) const {
  const QueueLane* own = impl_->FindLane(class_id, false);
  if (own == nullptr) {
    return Millis(0);
  }
  // A new request goes before the late ones.
  size_t ahead = 0;
  for (const QueueLane* lane : impl_->by_tier_) {
    ahead += lane->tier_ <= own->tier_ ? lane->on_time_.size() : 0;
  }
  if (ahead == 0 &&
      impl_->CountTowardsLimit(limits) < impl_->LimitOf(*own, limits)) {
    return Millis(0);
  }
  const double floor_wait = impl_->FloorWait(*own);
  if (own->empty() || !own->departures_.known()) {
    const double queue =
        impl_->starts_.Interval(now) * static_cast<double>(ahead + 1);
    return Millis(static_cast<int64_t>(std::min(queue, floor_wait)));
  }
  const double lane_wait = own->departures_.Interval(now) *
                           static_cast<double>(own->on_time_.size() + 1);
  return Millis(static_cast<int64_t>(std::min(lane_wait, floor_wait)));
}

size_t WorkQueue::size() const {
  return impl_->entries_.size();
}

size_t WorkQueue::SizeOf(const ClassId& class_id) const {
  size_t size = 0;
  for (const bool suspects : {false, true}) {
    const QueueLane* lane = impl_->FindLane(class_id, suspects);
    size += lane == nullptr ? 0 : lane->size();
  }
  return size;
}

int WorkQueue::running() const {
  return impl_->running_;
}

int WorkQueue::RunningOf(const ClassId& class_id) const {
  int running = 0;
  for (const bool suspects : {false, true}) {
    const QueueLane* lane = impl_->FindLane(class_id, suspects);
    running += lane == nullptr ? 0 : lane->running_;
  }
  return running;
}

}  // namespace bergamotscale::policy
