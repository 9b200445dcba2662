// The clock and the agenda of a simulation.
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

// Runs callbacks in the order of their time; those of one time in the order in
// which they were added. Thread safety: none.
class EventLoop {
 public:
  using Callback = std::function<void()>;

  Micros now() const { return now_; }
  // @return the present time as processes see it.
  Millis now_millis() const {
    return Millis(now_.count() / emulator::kMicrosPerMilli);
  }

  // Precondition: the time isn't past.
  void At(Micros at, Callback callback) {
    agenda_.push(Event{at, next_++, std::move(callback)});
  }
  void After(Micros delay, Callback callback) {
    At(now_ + delay, std::move(callback));
  }

  // Runs all that is due up to a time.
  void RunUntil(Micros end) {
    while (!agenda_.empty() && agenda_.top().at_ <= end) {
      // The callback may add events, so it leaves the queue first.
      const Event event = agenda_.top();
      agenda_.pop();
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
  std::priority_queue<Event> agenda_;
};

}  // namespace bergamotscale::lab

#endif  // BERGAMOTSCALE_SRC_LAB_EVENT_LOOP_H_
