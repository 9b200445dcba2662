// The clock and event queue of a simulation.
#ifndef BERGAMOTSCALE_SRC_LAB_EVENT_LOOP_H_
#define BERGAMOTSCALE_SRC_LAB_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "src/emulator/engine_types.h"

namespace bergamotscale::lab {

using emulator::Micros;

// Runs callbacks in order of time, and in order of addition at equal times.
// Thread safety: none.
class EventLoop {
 public:
  using Callback = std::function<void()>;

  Micros now() const { return now_; }
  // @return the current time in ms, the unit in which processes read it.
  Millis now_millis() const {
    return Millis(now_.count() / emulator::kMicrosPerMilli);
  }

  // Precondition: `at` is not in the past.
  void ScheduleAt(Micros at, Callback callback) {
    events_.push(Event{at, next_++, std::move(callback)});
  }
  void ScheduleAfter(Micros delay, Callback callback) {
    ScheduleAt(now_ + delay, std::move(callback));
  }

  // Runs all events that are due until `end`, inclusive.
  void RunUntil(Micros end) {
    while (!events_.empty() && events_.top().at_ <= end) {
      // The callback may add events, so its event is removed first.
      const Event event = events_.top();
      events_.pop();
      now_ = event.at_;
      event.callback_();
    }
    now_ = end;
  }

 private:
  struct Event {
    Micros at_;
    uint64_t number_ = 0;
    Callback callback_;
    friend bool operator<(const Event& a, const Event& b) {
      return a.at_ != b.at_ ? a.at_ > b.at_ : a.number_ > b.number_;
    }
  };

  Micros now_;
  uint64_t next_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace bergamotscale::lab

#endif  // BERGAMOTSCALE_SRC_LAB_EVENT_LOOP_H_
