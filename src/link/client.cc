#include <chrono>
#include <utility>

#include <glog/logging.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/link/connection.h"
#include "src/link/link.h"

namespace bergamotscale::link {
namespace {

using boost::asio::ip::tcp;

}  // namespace

class LinkClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io,
       Endpoint peer,
       const LinkOptions& options,
       StateHook on_state)
      : io_(io),
        peer_(std::move(peer)),
        options_(options),
        on_state_(std::move(on_state)),
        timer_(io) {}

  void Connect();
  void Close();
  bool usable() const { return usable_; }
  Result<Stream> Open(const std::string& path, StreamHooks hooks);

 private:
  void ScheduleAfter(Millis delay, void (Impl::*callback)());
  void OnConnected(tcp::socket socket);
  void OnConnectTimeout();
  void OnReady();
  void OnLost();
  void SetUsable(bool usable);

  boost::asio::io_context& io_;
  const Endpoint peer_;
  const LinkOptions options_;
  const StateHook on_state_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<tcp::socket> connecting_;
  std::shared_ptr<Connection> connection_;
  bool usable_ = false;
  bool closed_ = false;
};

void LinkClient::Impl::ScheduleAfter(Millis delay, void (Impl::*callback)()) {
  timer_.expires_after(std::chrono::milliseconds(delay.count()));
  timer_.async_wait([weak_self = weak_from_this(),
                     callback](boost::system::error_code error) {
    const auto self = weak_self.lock();
    if (!error && self != nullptr && !self->closed_) {
      ((*self).*callback)();
    }
  });
}

void LinkClient::Impl::Connect() {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(peer_.address_, error);
  if (error) {
    LOG(ERROR) << peer_.ToString() << ": invalid address: " << error.message();
    return;
  }
  auto socket = std::make_shared<tcp::socket>(io_);
  connecting_ = socket;
  ScheduleAfter(options_.connect_timeout_, &Impl::OnConnectTimeout);
  socket->async_connect(
      tcp::endpoint(address, peer_.port_),
      [self = shared_from_this(), socket](boost::system::error_code failure) {
        if (self->closed_ || self->connecting_ != socket) {
          return;
        }
        self->connecting_.reset();
        if (failure) {
          VLOG(1) << self->peer_.ToString()
                  << ": connecting failed: " << failure.message();
          self->ScheduleAfter(self->options_.reconnect_delay_, &Impl::Connect);
        } else {
          self->OnConnected(std::move(*socket));
        }
      });
}

void LinkClient::Impl::OnConnected(tcp::socket socket) {
  ConnectionHooks hooks;
  const auto bind = [this](void (Impl::*callback)()) {
    return [weak_self = weak_from_this(), callback] {
      if (const auto self = weak_self.lock()) {
        ((*self).*callback)();
      }
    };
  };
  hooks.on_ready_ = bind(&Impl::OnReady);
  hooks.on_closed_ = bind(&Impl::OnLost);
  hooks.on_draining_ = [weak_self = weak_from_this()] {
    if (const auto self = weak_self.lock()) {
      self->SetUsable(false);
    }
  };
  connection_ = std::make_shared<Connection>(std::move(socket), Role::kClient,
                                             options_, std::move(hooks));
  connection_->Start();
}

void LinkClient::Impl::OnConnectTimeout() {
  if (usable_) {
    return;
  }
  VLOG(1) << peer_.ToString() << ": connecting timed out";
  if (connection_ != nullptr) {
    const auto connection = connection_;
    connection->Close();
    return;
  }
  const auto socket = std::exchange(connecting_, nullptr);
  if (socket != nullptr) {
    boost::system::error_code ignored;
    socket->close(ignored);
  }
  ScheduleAfter(options_.reconnect_delay_, &Impl::Connect);
}

void LinkClient::Impl::OnReady() {
  timer_.cancel();
  SetUsable(true);
}

void LinkClient::Impl::OnLost() {
  connection_.reset();
  if (closed_) {
    return;
  }
  ScheduleAfter(options_.reconnect_delay_, &Impl::Connect);
  SetUsable(false);
}

void LinkClient::Impl::SetUsable(bool usable) {
  if (usable_ == usable) {
    return;
  }
  usable_ = usable;
  if (on_state_) {
    on_state_(usable);
  }
}

Result<Stream> LinkClient::Impl::Open(const std::string& path,
                                      StreamHooks hooks) {
  if (!usable_) {
    return Error(ErrorCode::kUpstreamUnreachable, peer_.ToString());
  }
  return connection_->Open(path, std::move(hooks));
}

void LinkClient::Impl::Close() {
  closed_ = true;
  usable_ = false;
  timer_.cancel();
  if (const auto socket = std::exchange(connecting_, nullptr)) {
    boost::system::error_code ignored;
    socket->close(ignored);
  }
  if (const auto connection = std::exchange(connection_, nullptr)) {
    connection->Close();
  }
}

LinkClient::LinkClient(boost::asio::io_context& io,
                       Endpoint peer,
                       LinkOptions options,
                       StateHook on_state)
    : impl_(std::make_shared<Impl>(io,
                                   std::move(peer),
                                   options,
                                   std::move(on_state))) {}

LinkClient::~LinkClient() {
  Close();
}

void LinkClient::Start() {
  impl_->Connect();
}

bool LinkClient::usable() const {
  return impl_->usable();
}

Result<Stream> LinkClient::Open(const std::string& path, StreamHooks hooks) {
  const auto impl = impl_;
  return impl->Open(path, std::move(hooks));
}

void LinkClient::Close() {
  const auto impl = impl_;
  impl->Close();
}

}  // namespace bergamotscale::link
