// Implementation of WorkQueue: one lane per class, and the choice between
// lanes.
#ifndef BERGAMOTSCALE_SRC_POLICY_WORK_QUEUE_IMPL_H_
#define BERGAMOTSCALE_SRC_POLICY_WORK_QUEUE_IMPL_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <memory>
#include <memory_resource>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "src/policy/departure_meter.h"
#include "src/policy/work_queue.h"

namespace bergamotscale::policy {

// Time between starts that is assumed before any is measured.
inline constexpr double kDefaultIntervalMillis = 100;
inline constexpr double kInfiniteMillis =
    std::numeric_limits<double>::infinity();

// @return the work of a request, in output tokens; at least 1.
double WorkOf(const QueueItem& item);

// @return the exponential moving average after one more sample.
inline double MovingAverage(double mean, double sample, double gain) {
  return mean + (sample - mean) * gain;
}

// Position of an item in the sets of its lane, and in the set by deadline.
struct QueueKey {
  int64_t due_ = 0;
  uint64_t handle_ = 0;
  friend bool operator<(const QueueKey& a, const QueueKey& b) {
    return a.due_ != b.due_ ? a.due_ < b.due_ : a.handle_ < b.handle_;
  }
};
using KeySet = std::pmr::set<QueueKey>;

// The waiting requests of one class. Suspects have a lane of their own, so that
// all of them can be skipped together.
struct QueueLane {
  QueueLane(ClassId class_id,
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
  const QueueKey& Head() const {
    return *(on_time_.empty() ? late_ : on_time_).begin();
  }

  ClassId class_;
  Tier tier_;
  bool suspects_;
  int rank_ = 0;  // of its tier among the configured tiers, from 0
  double floor_ = 0;
  double credit_ =
      0;  // work that the class is owed by its floor share, in output tokens
  double mean_work_ = 0;
  int running_ = 0;
  KeySet on_time_;
  KeySet late_;
  DepartureMeter departures_;
};

// A waiting request.
struct QueueEntry {
  QueueItem item_;
  int lane_ = 0;
  QueueKey key_;
};

struct WorkQueue::Impl {
  int LaneOf(const ClassId& class_id, Tier tier, bool suspect);
  const QueueLane* FindLane(const ClassId& class_id, bool suspect) const;
  void RankLanes();
  void MoveLateRequests(Millis now);
  bool CannotStart(const QueueLane& lane) const {
    return lane.empty() || (lane.suspects_ && suspects_running_ > 0);
  }
  int LimitOf(const QueueLane& lane, const SlotLimits& limits) const;
  // The running requests that count towards the limit.
  int CountTowardsLimit(const SlotLimits& limits) const {
    return running_ - std::min(floor_running_, limits.floor_extra_);
  }
  double SlackOf(const QueueLane& lane, Millis now) const;
  QueueLane* NextByTier(Millis now, const SlotLimits& limits);
  QueueLane* NextByFloor(const SlotLimits& limits);
  void AddFloorCredit(double work);
  void CountStart(QueueLane& lane, const QueueItem& item);
  void CountEnd(const QueueItem& item, double credit_change);
  QueueItem Remove(uint64_t handle, Millis now);
  void RecordDeparture(QueueLane& lane, Millis now);
  void RecordStart(QueueLane& lane, double work, Millis now);
  double FloorWait(const QueueLane& lane) const;

  std::pmr::unsynchronized_pool_resource memory_;
  std::vector<std::unique_ptr<QueueLane>> lanes_;
  std::vector<QueueLane*> by_tier_;
  std::unordered_map<ClassId, std::array<int, 2>> lane_of_class_;
  std::pmr::unordered_map<uint64_t, QueueEntry> entries_{&memory_};
  KeySet by_deadline_{&memory_};
  std::vector<Tier> tiers_;  // configured
  int running_ = 0;
  int floor_running_ = 0;
  int suspects_running_ = 0;
  // Handles of the running requests without a first token.
  std::pmr::unordered_set<uint64_t> before_first_token_{&memory_};
  // Time from start to first token, in ms: its mean, its mean deviation, and an
  // upper estimate that most requests stay below.
  double first_token_mean_ = 0;
  double first_token_deviation_ = 0;
  double first_token_estimate_ = 0;
  double interval_ = kDefaultIntervalMillis;
  Millis last_pop_;
  DepartureMeter starts_;
  // Exponentially decaying sum of the work started.
  double recent_work_ = 0;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_WORK_QUEUE_IMPL_H_
