// Calls a function periodically.
#ifndef BERGAMOTSCALE_SRC_SIDECAR_TICKER_H_
#define BERGAMOTSCALE_SRC_SIDECAR_TICKER_H_

#include <chrono>
#include <functional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamotscale/units.h"

namespace bergamotscale::sidecar {

// Calls `tick` every interval from Start() until Stop().
// Thread safety: use on the io_context's thread. Destroy a ticker that was not
// stopped only after the context has stopped running.
class Ticker {
 public:
  Ticker(boost::asio::io_context& io,
         Millis interval,
         std::function<void()> tick)
      : timer_(io), interval_(interval.count()), tick_(std::move(tick)) {}

  void Start() {
    timer_.expires_after(interval_);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        tick_();
        Start();
      }
    });
  }

  void Stop() { timer_.cancel(); }

 private:
  boost::asio::steady_timer timer_;
  std::chrono::milliseconds interval_;
  std::function<void()> tick_;
};

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_TICKER_H_
