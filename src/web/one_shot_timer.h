// A timer that never runs a handler after it was cancelled or restarted.
#ifndef BERGAMOTSCALE_SRC_WEB_ONE_SHOT_TIMER_H_
#define BERGAMOTSCALE_SRC_WEB_ONE_SHOT_TIMER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamotscale/units.h"

namespace bergamotscale::web {

// Asio queues the handler of an expired timer, and neither cancelling nor
// restarting the timer removes it: after the process was suspended, it would
// run although it is obsolete. This class makes each start and each cancel
// invalidate earlier handlers.
// Thread safety: use from the thread of its executor.
class OneShotTimer {
 public:
  // If a timer runs later than this after its deadline, the process was
  // suspended. Reads then get this much time to process what has arrived. It is
  // well below the deadlines of peers and above the delay of timers under load.
  static constexpr Millis kReadGrace = Millis(50);

  explicit OneShotTimer(const boost::asio::any_io_executor& executor);
  ~OneShotTimer() { Cancel(); }
  OneShotTimer(const OneShotTimer&) = delete;
  OneShotTimer& operator=(const OneShotTimer&) = delete;

  // Calls the handler once, after this time. The handler is destroyed when the
  // time is over or earlier.
  void Start(Millis after, std::function<void()> expired);
  // Like Start(), for a deadline of a peer. If the process was suspended and
  // the deadline is noticed late, pending reads run before the handler and may
  // cancel it.
  void StartDeadlineTimer(Millis after, std::function<void()> expired);
  void Cancel();

 private:
  boost::asio::steady_timer timer_;
  // Queued handlers share it, so it outlives the timer.
  const std::shared_ptr<int64_t> generation_;
};

}  // namespace bergamotscale::web

#endif  // BERGAMOTSCALE_SRC_WEB_ONE_SHOT_TIMER_H_
