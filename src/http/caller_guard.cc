#include "src/http/caller_guard.h"

#include <atomic>
#include <chrono>
#include <unordered_set>
#include <utility>

#include <glog/logging.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/http/caller_connection.h"
#include "src/http/caller_registry.h"
#include "src/http/listening_socket.h"
#include "src/link/open_acceptor.h"

namespace bergamotscale::http {
namespace {

using boost::asio::ip::tcp;
using AsioError = boost::system::error_code;
using ConnectionPtr = std::shared_ptr<CallerConnection>;

constexpr std::chrono::milliseconds kSweepInterval(100);
// Maximum number of concurrent callers over the limit that get an error
// response. Further connections are closed without one.
constexpr size_t kMaxRefused = 256;
// Time for pending handshakes to complete when the guard stops accepting.
constexpr std::chrono::milliseconds kHandshakeTime(100);

}  // namespace

class CallerGuard::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, CallerGuardOptions options)
      : io_(io),
        options_(
            std::make_shared<const CallerGuardOptions>(std::move(options))),
        registry_(std::make_shared<CallerRegistry>()),
        acceptor_(io),
        sweep_timer_(io),
        close_timer_(io) {}

  Result<link::Endpoint> Listen();
  void StopAccepting();
  void Close();

  boost::asio::io_context& io_;
  const std::shared_ptr<const CallerGuardOptions> options_;
  const std::shared_ptr<CallerRegistry> registry_;
  std::atomic<int> open_connections_{0};
  std::atomic<bool> drained_{false};

 private:
  void AcceptNext();
  void AcceptPending();
  void CloseAcceptor();
  void UpdateConnectionState();
  void OnAccepted(tcp::socket socket);
  void RefuseForLimit(tcp::socket socket);
  void ScheduleSweep();
  void Sweep();

  tcp::acceptor acceptor_;
  boost::asio::steady_timer sweep_timer_;
  boost::asio::steady_timer close_timer_;
  std::unordered_set<ConnectionPtr> connections_;
  std::unordered_set<ConnectionPtr> refused_;
  bool accepting_ = false;
  bool accept_failed_ = false;  // the next sweep accepts again
  bool stopping_ = false;
  bool closed_ = false;
};

Result<link::Endpoint> CallerGuard::Impl::Listen() {
  Result<link::Endpoint> bound =
      link::OpenAcceptor(acceptor_, options_->public_endpoint_);
  if (bound.ok()) {
    AcceptNext();
    ScheduleSweep();
  }
  return bound;
}

void CallerGuard::Impl::AcceptNext() {
  accepting_ = true;
  acceptor_.async_accept(
      [self = shared_from_this()](AsioError error, tcp::socket socket) {
        self->accepting_ = false;
        if (self->closed_ || error == boost::asio::error::operation_aborted) {
          self->UpdateConnectionState();
          return;
        }
        if (error) {
          // The process may have run out of file descriptors.
          LOG(WARNING) << "caller guard: can't accept a connection: "
                       << error.message();
          self->accept_failed_ = true;
          return;
        }
        self->OnAccepted(std::move(socket));
        // The acceptor may have been closed in the meantime.
        if (self->acceptor_.is_open()) {
          self->AcceptNext();
        }
      });
}

// Accepts all connections that the kernel has queued, without waiting.
void CallerGuard::Impl::AcceptPending() {
  AsioError error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) {
      OnAccepted(std::move(socket));
    }
  }
}

void CallerGuard::Impl::OnAccepted(tcp::socket socket) {
  if (connections_.size() >= static_cast<size_t>(options_->max_connections_)) {
    RefuseForLimit(std::move(socket));
    return;
  }
  const auto connection = std::make_shared<CallerConnection>(
      std::move(socket), options_, registry_,
      [weak_self = weak_from_this()](const ConnectionPtr& closed) {
        if (const auto self = weak_self.lock()) {
          self->connections_.erase(closed);
          self->UpdateConnectionState();
        }
      });
  connections_.insert(connection);
  UpdateConnectionState();
  connection->Start();
}

void CallerGuard::Impl::UpdateConnectionState() {
  open_connections_ = static_cast<int>(connections_.size());
  const bool accepts = acceptor_.is_open() || accepting_;
  drained_ = stopping_ && !accepts && connections_.empty();
}

void CallerGuard::Impl::RefuseForLimit(tcp::socket socket) {
  if (refused_.size() >= kMaxRefused) {
    return;
  }
  const auto connection = std::make_shared<CallerConnection>(
      std::move(socket), options_, registry_,
      [weak_self = weak_from_this()](const ConnectionPtr& closed) {
        if (const auto self = weak_self.lock()) {
          self->refused_.erase(closed);
        }
      });
  refused_.insert(connection);
  connection->Refuse(ErrorCode::kOverloaded);
}

void CallerGuard::Impl::ScheduleSweep() {
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([self = shared_from_this()](AsioError) {
    if (!self->closed_) {
      self->Sweep();
      self->ScheduleSweep();
    }
  });
}

void CallerGuard::Impl::Sweep() {
  if (accept_failed_ && acceptor_.is_open()) {
    accept_failed_ = false;
    AcceptNext();
  }
  const auto connections = connections_;
  for (const ConnectionPtr& connection : connections) {
    connection->Sweep(stopping_);
  }
  const auto refused = refused_;
  for (const ConnectionPtr& connection : refused) {
    connection->Sweep(stopping_);
  }
}

void CallerGuard::Impl::StopAccepting() {
  if (stopping_ || closed_) {
    return;
  }
  stopping_ = true;
  const Status dropping = DropNewConnections(acceptor_.native_handle());
  if (!dropping.ok()) {
    LOG(WARNING) << "caller guard: can't drop new connections: "
                 << dropping.error().Message();
  }
  close_timer_.expires_after(kHandshakeTime);
  close_timer_.async_wait([self = shared_from_this()](AsioError error) {
    if (!error && !self->closed_) {
      self->AcceptPending();
      self->CloseAcceptor();
    }
  });
}

void CallerGuard::Impl::CloseAcceptor() {
  AsioError ignored;
  acceptor_.close(ignored);
  UpdateConnectionState();
}

void CallerGuard::Impl::Close() {
  closed_ = true;
  stopping_ = true;
  CloseAcceptor();
  sweep_timer_.cancel();
  close_timer_.cancel();
  const auto connections = connections_;
  for (const ConnectionPtr& connection : connections) {
    connection->Close();
  }
  const auto refused = refused_;
  for (const ConnectionPtr& connection : refused) {
    connection->Close();
  }
}

CallerWatch::CallerWatch(CallerWatch&& other) noexcept
    : cancel_(std::exchange(other.cancel_, nullptr)) {}

CallerWatch& CallerWatch::operator=(CallerWatch&& other) noexcept {
  if (this != &other) {
    Cancel();
    cancel_ = std::exchange(other.cancel_, nullptr);
  }
  return *this;
}

void CallerWatch::Cancel() {
  const std::function<void()> cancel = std::exchange(cancel_, nullptr);
  if (cancel) {
    cancel();
  }
}

CallerGuard::CallerGuard(boost::asio::io_context& io,
                         CallerGuardOptions options)
    : impl_(std::make_shared<Impl>(io, std::move(options))) {}

CallerGuard::~CallerGuard() {
  Close();
}

Result<link::Endpoint> CallerGuard::Listen() {
  return impl_->Listen();
}

CallerWatch CallerGuard::OnCallerLeft(const std::string& address,
                                      std::function<void()> hook) {
  bool left = false;
  const auto id = impl_->registry_->AddHook(address, hook, &left);
  if (left) {
    boost::asio::post(impl_->io_, std::move(hook));
  }
  CallerWatch watch;
  if (id != CallerRegistry::kNoHook) {
    watch.cancel_ = [registry = impl_->registry_, address, id] {
      registry->RemoveHook(address, id);
    };
  }
  return watch;
}

void CallerGuard::RequestStarted(const std::string& address) {
  impl_->registry_->RequestStarted(address);
}

void CallerGuard::RequestFinished(const std::string& address) {
  impl_->registry_->RequestFinished(address);
}

void CallerGuard::StopAccepting() {
  boost::asio::post(impl_->io_, [impl = impl_] { impl->StopAccepting(); });
}

bool CallerGuard::drained() const {
  return impl_->drained_;
}

int CallerGuard::open_connections() const {
  return impl_->open_connections_;
}

void CallerGuard::Close() {
  impl_->Close();
}

}  // namespace bergamotscale::http
