#include "src/timeline/timeline.h"

#include <algorithm>
#include <deque>
#include <mutex>
#include <utility>

#include <nlohmann/json.hpp>

#include "src/timeline/event_json.h"

namespace bergamotscale::timeline {

class Timeline::Impl {
 public:
  Impl(InstanceId instance, Clock wall, size_t capacity)
      : instance_(std::move(instance)),
        wall_(std::move(wall)),
        capacity_(capacity) {}

  // Precondition: the caller holds mutex_.
  Timestamp Tick() {
    const int64_t wall_ms = wall_.Now().count();
    if (wall_ms > last_.wall_ms_) {
      last_ = Timestamp{wall_ms, 0};
    } else {
      ++last_.counter_;
    }
    return last_;
  }

  const InstanceId instance_;
  const Clock wall_;
  const size_t capacity_;
  mutable std::mutex mutex_;
  Timestamp last_;
  std::deque<Event> events_;
};

Timeline::Timeline(InstanceId instance, Clock wall, size_t capacity)
    : impl_(std::make_unique<Impl>(std::move(instance),
                                   std::move(wall),
                                   capacity)) {}

Timeline::~Timeline() = default;

void Timeline::Add(EventType type,
                   const RequestId& request_id,
                   const InstanceId& peer,
                   std::string detail) {
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  if (impl_->events_.size() >= impl_->capacity_) {
    impl_->events_.pop_front();
  }
  impl_->events_.push_back(Event{impl_->Tick(), type, impl_->instance_,
                                 request_id, peer, std::move(detail)});
}

void Timeline::Observe(Timestamp remote) {
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  impl_->last_ = std::max(impl_->last_, remote);
}

Timestamp Timeline::Now() {
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  return impl_->Tick();
}

std::vector<Event> Timeline::Events() const {
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  return std::vector<Event>(impl_->events_.begin(), impl_->events_.end());
}

std::string Timeline::ToJsonLines() const {
  std::string lines;
  for (const Event& event : Events()) {
    lines += EventToJson(event).dump(-1, ' ', false,
                                     nlohmann::json::error_handler_t::replace);
    lines += "\n";
  }
  return lines;
}

}  // namespace bergamotscale::timeline
