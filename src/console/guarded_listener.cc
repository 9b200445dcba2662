#include "src/console/guarded_listener.h"

#include <chrono>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "src/http/caller_guard.h"

namespace bergamotscale::console {
namespace {

constexpr Bytes kMaxBody = Bytes(int64_t{64} * 1024);
constexpr int kMaxConnections = 256;
constexpr int kDrainLooks = 200;
constexpr std::chrono::milliseconds kDrainLookDelay{10};

http::CallerGuardOptions GuardOptions(const link::Endpoint& outer,
                                      const link::Endpoint& inner) {
  http::CallerGuardOptions options;
  options.public_endpoint_ = outer;
  options.listener_endpoint_ = inner;
  options.max_body_ = kMaxBody;
  options.max_connections_ = kMaxConnections;
  return options;
}

}  // namespace

class GuardedListener::Impl {
 public:
  Impl(link::Endpoint outer, const link::Endpoint& inner)
      : outer_(std::move(outer)),
        listener_(inner.address_, inner.port_),
        work_(io_.get_executor()),
        guard_(io_, GuardOptions(outer_, inner)) {}

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
    for (int look = 0; look < kDrainLooks && !guard_.drained(); ++look) {
      std::this_thread::sleep_for(kDrainLookDelay);
    }
    io_.stop();
    thread_.join();
    guard_.Close();
    listener_.Close();
  }

  const link::Endpoint outer_;
  http::Listener listener_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  http::CallerGuard guard_;
  std::thread thread_;
};

GuardedListener::GuardedListener(link::Endpoint outer,
                                 const link::Endpoint& inner)
    : impl_(std::make_unique<Impl>(std::move(outer), inner)) {}

GuardedListener::~GuardedListener() = default;

http::Listener& GuardedListener::listener() {
  return impl_->listener_;
}

Status GuardedListener::Open() {
  return impl_->Open();
}

void GuardedListener::Close() {
  impl_->Close();
}

std::string GuardedListener::url() const {
  return "http://" + impl_->outer_.address_ + ":" +
         std::to_string(impl_->outer_.port_);
}

}  // namespace bergamotscale::console
