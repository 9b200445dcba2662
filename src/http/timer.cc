#include "src/http/timer.h"

#include <chrono>
#include <memory>
#include <utility>

#include <pplx/threadpool.h>
#include <boost/asio/steady_timer.hpp>

namespace bergamotscale::http {

void CallAfter(Millis delay, std::function<void()> hook) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      crossplat::threadpool::shared_instance().service(),
      std::chrono::milliseconds(delay.count()));
  timer->async_wait([timer, hook = std::move(hook)](
                        const boost::system::error_code& failure) {
    if (!failure) {
      hook();
    }
  });
}

}  // namespace bergamotscale::http
