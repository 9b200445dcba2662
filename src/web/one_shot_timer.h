// A timer that can be set anew without its former handler running.
#ifndef BERGAMOTSCALE_SRC_WEB_ONE_SHOT_TIMER_H_
#define BERGAMOTSCALE_SRC_WEB_ONE_SHOT_TIMER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamotscale/units.h"

namespace bergamotscale::web {

// Asio queues the handler of a timer that has run out, and neither a cancel nor
// a new start takes it back: after a pause of the process it would run for
// something that is over. Here each start and each cancel ends the former one.
// Thread safety: use from the thread of its executor.
class OneShotTimer {
 public:
  // A limit noticed later than this says that the process has paused; reads get
  // as much time to take in what came meanwhile. Well below the limits on peers
  // and above what a timer is late under load.
  static constexpr Millis kReadTurn = Millis(50);

  explicit OneShotTimer(const boost::asio::any_io_executor& executor);
  ~OneShotTimer() { Cancel(); }
  OneShotTimer(const OneShotTimer&) = delete;
  OneShotTimer& operator=(const OneShotTimer&) = delete;

  // Calls the handler once, after this time. What the handler holds is let go
  // of at the latest when the time is over.
  void Start(Millis after, std::function<void()> expired);
  // The same for a time limit on a peer. If this process has paused, so that
  // the limit is noticed late, reads of what came meanwhile have their turn
  // before the handler; they may cancel it.
  void StartLimit(Millis after, std::function<void()> expired);
  void Cancel();

 private:
  boost::asio::steady_timer timer_;
  // Outlives the timer in handlers that are queued.
  const std::shared_ptr<int64_t> turn_;
};

}  // namespace bergamotscale::web

#endif  // BERGAMOTSCALE_SRC_WEB_ONE_SHOT_TIMER_H_
