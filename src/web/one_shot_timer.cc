#include "src/web/one_shot_timer.h"

#include <chrono>
#include <utility>

#include "src/core/chrono_time.h"

namespace bergamotscale::web {

OneShotTimer::OneShotTimer(const boost::asio::any_io_executor& executor)
    : timer_(executor), generation_(std::make_shared<int64_t>(0)) {}

void OneShotTimer::Start(Millis after, std::function<void()> expired) {
  const int64_t generation = ++*generation_;
  timer_.expires_after(ToChrono(after));
  timer_.async_wait(
      [current = generation_, generation,
       expired = std::move(expired)](const boost::system::error_code& error) {
        if (!error && *current == generation) {
          expired();
        }
      });
}

void OneShotTimer::StartDeadlineTimer(Millis after,
                                      std::function<void()> expired) {
  Start(after, [this, expired = std::move(expired)] {
    const auto late = std::chrono::steady_clock::now() - timer_.expiry();
    if (late > ToChrono(kReadGrace)) {
      Start(kReadGrace, expired);
    } else {
      expired();
    }
  });
}

void OneShotTimer::Cancel() {
  ++*generation_;
  timer_.cancel();
}

}  // namespace bergamotscale::web
