#include "src/policy/work_queue.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <cstdint>
#include <limits>
#include <memory_resource>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace bergamotscale::policy {

namespace {

constexpr double kDefaultIntervalMillis = 100;
constexpr double kIntervalGain = 0.1;
constexpr double kStartGain = 0.1;
constexpr double kStartSpreads = 3;
// So many requests without a token keep lower tiers from starting.
constexpr size_t kMaxStarting = 1;
// A lower tier goes first only if the higher can wait this many times as long
// as its own queue is expected to take.
constexpr double kSlackMargin = 2;
// A prompt token costs a small part of an output token.
constexpr double kPromptTokensPerOutputToken = 16;
constexpr double kPercent = 100;
constexpr double kWorkDecayMillis = 4000;
// Bounds on what a class may be owed and may owe, in requests.
constexpr double kMaxCreditItems = 4;
constexpr double kMinCreditItems = -4;

constexpr double kNever = std::numeric_limits<double>::infinity();

double WorkOf(const QueueItem& item) {
  const double prompt = static_cast<double>(item.prompt_tokens_.count());
  const double output = static_cast<double>(item.expected_output_.count());
  return std::max(1.0, output + prompt / kPromptTokensPerOutputToken);
}

double Average(double mean, double sample, double gain) {
  return mean + (sample - mean) * gain;
}

// Position of an item in the sets of its lane, or by deadline.
struct Key {
  int64_t due_ = 0;
  uint64_t handle_ = 0;
  friend bool operator<(const Key& a, const Key& b) {
    return a.due_ != b.due_ ? a.due_ < b.due_ : a.handle_ < b.handle_;
  }
};
using KeySet = std::pmr::set<Key>;

// The requests of one class that wait; suspects have a lane of their own, so
// that they can be passed over together.
struct Lane {
  Lane(ClassId class_id,
       Tier tier,
       bool suspects,
       std::pmr::memory_resource* memory)
      : class_(std::move(class_id)),
        tier_(tier),
        suspects_(suspects),
        on_time_(memory),
        late_(memory) {}

  bool empty() const { return on_time_.empty() && late_.empty(); }
  size_t size() const { return on_time_.size() + late_.size(); }
  const Key& Head() const {
    return *(on_time_.empty() ? late_ : on_time_).begin();
  }

  ClassId class_;
  Tier tier_;
  bool suspects_;
  int rank_ = 0;  // of its tier among the configured ones, from 0
  double floor_ = 0;
  double credit_ = 0;  // work owed
  double mean_work_ = 0;
  int running_ = 0;
  KeySet on_time_;
  KeySet late_;
  // Time between departures while requests wait.
  double interval_ = 0;
  Millis last_departure_;
};

struct Entry {
  QueueItem item_;
  int lane_ = 0;
  Key key_;
};

}  // namespace

struct WorkQueue::Impl {
  int LaneOf(const ClassId& class_id, Tier tier, bool suspect);
  const Lane* FindLane(const ClassId& class_id, bool suspect) const;
  void Rank();
  void MarkLate(Millis now);
  bool Blocked(const Lane& lane) const {
    return lane.empty() || (lane.suspects_ && suspects_running_ > 0);
  }
  int LimitOf(const Lane& lane, const SlotLimits& limits) const;
  // Running requests that count towards the limit.
  int Counted(const SlotLimits& limits) const {
    return running_ - std::min(floor_running_, limits.floor_extra_);
  }
  double Slack(const Lane& lane, Millis now) const;
  Lane* NextByTier(Millis now, const SlotLimits& limits);
  Lane* NextByFloor(const SlotLimits& limits);
  void Credit(double work);
  void CountStart(Lane& lane, const QueueItem& item);
  void CountEnd(const QueueItem& item, double credit_change);
  QueueItem Remove(uint64_t handle);
  void Depart(Lane& lane, Millis now);
  void Start(Lane& lane, double work, Millis now);
  double FloorWait(const Lane& lane) const;

  std::pmr::unsynchronized_pool_resource memory_;
  std::vector<std::unique_ptr<Lane>> lanes_;
  std::vector<Lane*> by_tier_;
  std::unordered_map<ClassId, std::array<int, 2>> lane_of_class_;
  std::pmr::unordered_map<uint64_t, Entry> entries_{&memory_};
  KeySet by_deadline_{&memory_};
  std::vector<Tier> tiers_;  // configured
  int running_ = 0;
  int floor_running_ = 0;
  int suspects_running_ = 0;
  // Handles of the running requests that have no token yet.
  std::pmr::unordered_set<uint64_t> starting_{&memory_};
  // From start to first token, ms: its mean, its spread, and a time within
  // which most come.
  double start_mean_ = 0;
  double start_spread_ = 0;
  double start_ = 0;
  double interval_ = kDefaultIntervalMillis;
  Millis last_pop_;
  // Work started, decaying.
  double recent_work_ = 0;
};

int WorkQueue::Impl::LaneOf(const ClassId& class_id, Tier tier, bool suspect) {
  const auto found = lane_of_class_.find(class_id);
  if (found != lane_of_class_.end()) {
    return found->second[suspect ? 1 : 0];
  }
  const int first = static_cast<int>(lanes_.size());
  lane_of_class_[class_id] = {first, first + 1};
  for (const bool suspects : {false, true}) {
    lanes_.push_back(
        std::make_unique<Lane>(class_id, tier, suspects, &memory_));
    by_tier_.push_back(lanes_.back().get());
  }
  Rank();
  return first + (suspect ? 1 : 0);
}

const Lane* WorkQueue::Impl::FindLane(const ClassId& class_id,
                                      bool suspect) const {
  const auto found = lane_of_class_.find(class_id);
  if (found == lane_of_class_.end()) {
    return nullptr;
  }
  return lanes_[found->second[suspect ? 1 : 0]].get();
}

// Orders the lanes by tier and gives each tier its rank.
void WorkQueue::Impl::Rank() {
  std::stable_sort(
      by_tier_.begin(), by_tier_.end(),
      [](const Lane* a, const Lane* b) { return a->tier_ < b->tier_; });
  for (Lane* lane : by_tier_) {
    const auto above =
        std::lower_bound(tiers_.begin(), tiers_.end(), lane->tier_);
    lane->rank_ = static_cast<int>(above - tiers_.begin());
  }
}

// Moves the requests that can't be on time any more behind those that can.
void WorkQueue::Impl::MarkLate(Millis now) {
  const int64_t horizon = now.count() + static_cast<int64_t>(start_);
  for (const std::unique_ptr<Lane>& lane : lanes_) {
    while (!lane->on_time_.empty()) {
      const Key key = *lane->on_time_.begin();
      if (key.due_ >= horizon || entries_.at(key.handle_).item_.resumed_) {
        break;
      }
      lane->late_.insert(lane->on_time_.extract(lane->on_time_.begin()));
    }
  }
}

int WorkQueue::Impl::LimitOf(const Lane& lane, const SlotLimits& limits) const {
  if (lane.rank_ == 0) {
    return limits.limit_ + limits.urgent_extra_;
  }
  if (starting_.size() >= kMaxStarting) {
    return 0;
  }
  return limits.limit_ + (lane.rank_ == 1 ? limits.urgent_extra_ / 2 : 0);
}

double WorkQueue::Impl::Slack(const Lane& lane, Millis now) const {
  if (lane.on_time_.empty()) {
    return kNever;
  }
  return static_cast<double>(lane.Head().due_ - now.count()) - start_;
}

// Least slack weighted by tier, among the lanes that leave every higher tier
// on time.
Lane* WorkQueue::Impl::NextByTier(Millis now, const SlotLimits& limits) {
  const int counted = Counted(limits);
  Lane* next = nullptr;
  double least = kNever;
  double ahead = 0;
  bool urgent_above = false;
  for (size_t i = 0; i < by_tier_.size(); ++i) {
    Lane* lane = by_tier_[i];
    if (urgent_above && next != nullptr && next->tier_ < lane->tier_) {
      break;
    }
    if (Blocked(*lane) || counted >= LimitOf(*lane, limits)) {
      continue;
    }
    ahead += static_cast<double>(lane->size());
    const double slack = Slack(*lane, now);
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

// The class that is owed the most requests.
Lane* WorkQueue::Impl::NextByFloor(const SlotLimits& limits) {
  if (floor_running_ >= limits.floor_extra_) {
    return nullptr;
  }
  Lane* next = nullptr;
  double most = 1;
  for (Lane* lane : by_tier_) {
    if (Blocked(*lane)) {
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

// Gives each class with requests waiting its share of work about to run.
void WorkQueue::Impl::Credit(double work) {
  for (Lane* lane : by_tier_) {
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

void WorkQueue::Impl::CountStart(Lane& lane, const QueueItem& item) {
  starting_.insert(item.handle_);
  ++lane.running_;
  ++running_;
  floor_running_ += item.by_floor_ ? 1 : 0;
  suspects_running_ += item.suspect_ ? 1 : 0;
}

void WorkQueue::Impl::CountEnd(const QueueItem& item, double credit_change) {
  const int index = LaneOf(item.class_, item.tier_, item.suspect_);
  Lane& lane = *lanes_[index];
  assert(running_ > 0 && lane.running_ > 0);
  starting_.erase(item.handle_);
  --lane.running_;
  --running_;
  floor_running_ -= item.by_floor_ ? 1 : 0;
  suspects_running_ -= item.suspect_ ? 1 : 0;
  const double least = kMinCreditItems * WorkOf(item);
  lane.credit_ = std::max(lane.credit_ + credit_change, least);
}

QueueItem WorkQueue::Impl::Remove(uint64_t handle) {
  const auto found = entries_.find(handle);
  assert(found != entries_.end());
  Entry entry = std::move(found->second);
  entries_.erase(found);
  Lane& lane = *lanes_[entry.lane_];
  if (lane.on_time_.erase(entry.key_) == 0) {
    lane.late_.erase(entry.key_);
  }
  by_deadline_.erase(Key{entry.item_.deadline_.count(), handle});
  return std::move(entry.item_);
}

// Learns how fast requests of a lane leave it.
void WorkQueue::Impl::Depart(Lane& lane, Millis now) {
  const double since =
      static_cast<double>((now - lane.last_departure_).count());
  lane.interval_ = lane.interval_ == 0
                       ? since
                       : Average(lane.interval_, since, kIntervalGain);
  lane.last_departure_ = now;
}

// Learns how fast requests and work start.
void WorkQueue::Impl::Start(Lane& lane, double work, Millis now) {
  const double since = static_cast<double>((now - last_pop_).count());
  interval_ = Average(interval_, since, kIntervalGain);
  recent_work_ = recent_work_ * std::exp(-since / kWorkDecayMillis) + work;
  lane.mean_work_ = lane.mean_work_ == 0
                        ? work
                        : Average(lane.mean_work_, work, kIntervalGain);
  last_pop_ = now;
  Depart(lane, now);
}

// The time until a new request of the lane is due on its floor.
double WorkQueue::Impl::FloorWait(const Lane& lane) const {
  const double rate = recent_work_ / kWorkDecayMillis * lane.floor_;
  if (rate <= 0) {
    return kNever;
  }
  const double ahead = static_cast<double>(lane.on_time_.size() + 1);
  return std::max(0.0, ahead * lane.mean_work_ - lane.credit_) / rate;
}

WorkQueue::WorkQueue() : impl_(std::make_unique<Impl>()) {}
WorkQueue::~WorkQueue() = default;
WorkQueue::WorkQueue(WorkQueue&&) noexcept = default;
WorkQueue& WorkQueue::operator=(WorkQueue&&) noexcept = default;

void WorkQueue::Configure(const std::vector<ServiceClass>& classes) {
  impl_->tiers_.clear();
  for (const std::unique_ptr<Lane>& lane : impl_->lanes_) {
    lane->floor_ = 0;
  }
  for (const ServiceClass& service_class : classes) {
    impl_->tiers_.push_back(service_class.tier_);
    for (const bool suspects : {false, true}) {
      const int index =
          impl_->LaneOf(service_class.name_, service_class.tier_, suspects);
      Lane& lane = *impl_->lanes_[index];
      lane.tier_ = service_class.tier_;
      lane.floor_ = service_class.floor_percent_ / kPercent;
    }
  }
  std::sort(impl_->tiers_.begin(), impl_->tiers_.end());
  impl_->tiers_.erase(std::unique(impl_->tiers_.begin(), impl_->tiers_.end()),
                      impl_->tiers_.end());
  impl_->Rank();
}

void WorkQueue::Push(const QueueItem& item, Millis now) {
  assert(impl_->entries_.count(item.handle_) == 0);
  const int index = impl_->LaneOf(item.class_, item.tier_, item.suspect_);
  Lane& lane = *impl_->lanes_[index];
  if (lane.empty()) {
    lane.last_departure_ = now;
  }
  // A resumed request sorts before all that have no token yet.
  const int64_t due = item.resumed_ ? std::numeric_limits<int64_t>::min() / 2 +
                                          item.first_token_due_.count()
                                    : item.first_token_due_.count();
  const Key key{due, item.handle_};
  if (impl_->entries_.empty()) {
    impl_->last_pop_ = now;
  }
  impl_->entries_.emplace(item.handle_, Entry{item, index, key});
  lane.on_time_.insert(key);
  impl_->by_deadline_.insert(Key{item.deadline_.count(), item.handle_});
}

bool WorkQueue::Withdraw(uint64_t handle, Millis now) {
  const auto found = impl_->entries_.find(handle);
  if (found == impl_->entries_.end()) {
    return false;
  }
  Lane& lane = *impl_->lanes_[found->second.lane_];
  impl_->Remove(handle);
  impl_->Depart(lane, now);
  return true;
}

std::optional<QueueItem> WorkQueue::PopNext(Millis now,
                                            const SlotLimits& limits) {
  if (impl_->entries_.empty()) {
    return std::nullopt;
  }
  impl_->MarkLate(now);
  Lane* lane = impl_->NextByTier(now, limits);
  const bool by_floor = lane == nullptr;
  if (by_floor) {
    lane = impl_->NextByFloor(limits);
  }
  if (lane == nullptr) {
    return std::nullopt;
  }
  const uint64_t handle = lane->Head().handle_;
  const double work = WorkOf(impl_->entries_.at(handle).item_);
  impl_->Credit(work);
  QueueItem item = impl_->Remove(handle);
  item.by_floor_ = by_floor;
  lane->credit_ =
      by_floor ? lane->credit_ - work
               : std::max(lane->credit_ - work, std::min(lane->credit_, 0.0));
  impl_->CountStart(*lane, item);
  impl_->Start(*lane, work, now);
  return item;
}

void WorkQueue::Return(const QueueItem& item) {
  impl_->CountEnd(item, item.by_floor_ ? WorkOf(item) : 0);
}

void WorkQueue::Settle(const QueueItem& item, Tokens output) {
  QueueItem actual = item;
  actual.expected_output_ = output;
  impl_->CountEnd(item, item.by_floor_ ? WorkOf(item) - WorkOf(actual) : 0);
}

void WorkQueue::OnFirstToken(const QueueItem& item, Millis since_start) {
  impl_->starting_.erase(item.handle_);
  const double sample = static_cast<double>(since_start.count());
  const double spread = std::abs(sample - impl_->start_mean_);
  impl_->start_mean_ = Average(impl_->start_mean_, sample, kStartGain);
  impl_->start_spread_ = Average(impl_->start_spread_, spread, kStartGain);
  impl_->start_ = impl_->start_mean_ + kStartSpreads * impl_->start_spread_;
}

std::vector<QueueItem> WorkQueue::TakeExpired(Millis now) {
  std::vector<QueueItem> expired;
  while (!impl_->by_deadline_.empty() &&
         impl_->by_deadline_.begin()->due_ <= now.count()) {
    expired.push_back(impl_->Remove(impl_->by_deadline_.begin()->handle_));
  }
  return expired;
}

Millis WorkQueue::ExpectedWait(const ClassId& class_id,
                               Millis now,
                               const SlotLimits& limits) const {
  const Lane* own = impl_->FindLane(class_id, false);
  if (own == nullptr) {
    return Millis(0);
  }
  // A new request goes before those that are late.
  size_t ahead = 0;
  for (const Lane* lane : impl_->by_tier_) {
    ahead += lane->tier_ <= own->tier_ ? lane->on_time_.size() : 0;
  }
  if (ahead == 0 && impl_->Counted(limits) < impl_->LimitOf(*own, limits)) {
    return Millis(0);
  }
  const double floor_wait = impl_->FloorWait(*own);
  if (own->empty() || own->interval_ == 0) {
    const double queue = impl_->interval_ * static_cast<double>(ahead + 1);
    return Millis(static_cast<int64_t>(std::min(queue, floor_wait)));
  }
  const double since =
      static_cast<double>((now - own->last_departure_).count());
  const double interval = std::max(own->interval_, since);
  const double lane_wait =
      interval * static_cast<double>(own->on_time_.size() + 1);
  return Millis(static_cast<int64_t>(std::min(lane_wait, floor_wait)));
}

size_t WorkQueue::size() const {
  return impl_->entries_.size();
}

size_t WorkQueue::SizeOf(const ClassId& class_id) const {
  size_t size = 0;
  for (const bool suspects : {false, true}) {
    const Lane* lane = impl_->FindLane(class_id, suspects);
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
    const Lane* lane = impl_->FindLane(class_id, suspects);
    running += lane == nullptr ? 0 : lane->running_;
  }
  return running;
}

}  // namespace bergamotscale::policy
