#include "src/http/http_thread.h"

#include <future>

#include <pplx/threadpool.h>
#include <boost/asio/post.hpp>

namespace bergamotscale::http {

boost::asio::io_context& HttpThread::io() {
  return crossplat::threadpool::shared_instance().service();
}

void HttpThread::Run(const std::function<void()>& step) {
  std::promise<void> done;
  boost::asio::post(io(), [&step, &done] {
    step();
    done.set_value();
  });
  done.get_future().wait();
}

void HttpThread::Stop() {
  if (stopped_) {
    return;
  }
  stopped_ = true;
  // On the library's only thread, so no handler runs concurrently or after it.
  Run([this] { io().stop(); });
}

}  // namespace bergamotscale::http
