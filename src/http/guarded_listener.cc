#include "src/http/guarded_listener.h"

#include <chrono>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "bergamotscale/clock.h"
#include "src/http/caller_guard.h"

namespace bergamotscale::http {
namespace {

constexpr std::chrono::milliseconds kDrainPollInterval{10};

CallerGuardOptions GuardOptions(const GuardedListenerOptions& options) {
  CallerGuardOptions guard;
  guard.public_endpoint_ = options.caller_endpoint_;
  guard.listener_endpoint_ = options.library_endpoint_;
  guard.max_body_ = options.max_body_;
  guard.max_connections_ = options.max_connections_;
  return guard;
}

}  // namespace

class GuardedListener::Impl {
 public:
  explicit Impl(GuardedListenerOptions options)
      : options_(std::move(options)),
        listener_(options_.library_endpoint_.address_,
                  options_.library_endpoint_.port_),
        work_(io_.get_executor()),
        guard_(io_, GuardOptions(options_)) {}

  ~Impl() { Close(); }

  Status Open() {
    Status opened = listener_.Open();
    if (!opened.ok()) {
      return opened;
    }
    const Result<link::Endpoint> listening = guard_.Listen();
    if (!listening.ok()) {
      return listening.error();
    }
    thread_ = std::thread([this] { io_.run(); });
    return Done{};
  }

  void Close() {
    if (!thread_.joinable()) {
      return;
    }
    guard_.StopAccepting();
    WaitUntilDrained();
    io_.stop();
    thread_.join();
    guard_.Close();
    listener_.Close();
  }

  const GuardedListenerOptions options_;
  Listener listener_;

 private:
  void WaitUntilDrained() {
    const Clock clock = Clock::Steady();
    const Millis deadline = clock.Now() + options_.drain_limit_;
    while (!guard_.drained() && clock.Now() < deadline) {
      std::this_thread::sleep_for(kDrainPollInterval);
    }
  }

  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  CallerGuard guard_;
  std::thread thread_;
};

GuardedListener::GuardedListener(GuardedListenerOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

GuardedListener::~GuardedListener() = default;

Listener& GuardedListener::listener() {
  return impl_->listener_;
}

Status GuardedListener::Open() {
  return impl_->Open();
}

void GuardedListener::Close() {
  impl_->Close();
}

std::string GuardedListener::url() const {
  const link::Endpoint& outer = impl_->options_.caller_endpoint_;
  return "http://" + outer.ToString();
}

}  // namespace bergamotscale::http
