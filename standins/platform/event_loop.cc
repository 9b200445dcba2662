#include "standins/platform/event_loop.h"

#include <chrono>
#include <future>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bergamotscale::standins {

class EventLoop::Impl {
 public:
  Impl()
      : work_(context_.get_executor()), thread_([this] { context_.run(); }) {}

  ~Impl() {
    context_.stop();
    thread_.join();
  }

  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::thread thread_;
};

EventLoop::EventLoop() : impl_(std::make_unique<Impl>()) {}

EventLoop::~EventLoop() = default;

void EventLoop::Post(std::function<void()> task) {
  boost::asio::post(impl_->context_, std::move(task));
}

void EventLoop::PostAfter(Millis delay, std::function<void()> task) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      impl_->context_, std::chrono::milliseconds(delay.count()));
  timer->async_wait([timer, task = std::move(task)](
                        const boost::system::error_code& failure) {
    if (!failure) {
      task();
    }
  });
}

void EventLoop::RunAndWait(const std::function<void()>& task) {
  std::promise<void> done;
  Post([&] {
    task();
    done.set_value();
  });
  done.get_future().wait();
}

}  // namespace bergamotscale::standins
