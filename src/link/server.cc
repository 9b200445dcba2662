#include <unordered_set>
#include <utility>

#include <glog/logging.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/link/connection.h"
#include "src/link/link.h"
#include "src/link/open_acceptor.h"

namespace bergamotscale::link {
namespace {

using boost::asio::ip::tcp;

// Delay after a failed accept, for example when file descriptors run out.
constexpr std::chrono::milliseconds kAcceptRetryDelay(100);

}  // namespace

class LinkServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, const LinkOptions& options, Accept accept)
      : options_(options),
        accept_(std::make_shared<const Accept>(std::move(accept))),
        acceptor_(io),
        retry_timer_(io) {}

  Result<Endpoint> Listen(const Endpoint& endpoint);
  void AcceptNext();
  void Drain();
  int open_streams() const;
  void Close();

 private:
  void OnAccepted(tcp::socket socket);

  const LinkOptions options_;
  const std::shared_ptr<const Accept> accept_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
};

Result<Endpoint> LinkServer::Impl::Listen(const Endpoint& endpoint) {
  Result<Endpoint> bound = OpenAcceptor(acceptor_, endpoint);
  if (bound.ok()) {
    AcceptNext();
  }
  return bound;
}

void LinkServer::Impl::AcceptNext() {
  acceptor_.async_accept([self = shared_from_this()](
                             boost::system::error_code error,
                             tcp::socket socket) {
    if (!self->acceptor_.is_open()) {
      return;
    }
    if (!error) {
      self->OnAccepted(std::move(socket));
      self->AcceptNext();
      return;
    }
    LOG(WARNING) << "accepting a connection failed: " << error.message();
    self->retry_timer_.expires_after(kAcceptRetryDelay);
    self->retry_timer_.async_wait([self](boost::system::error_code cancelled) {
      if (!cancelled && self->acceptor_.is_open()) {
        self->AcceptNext();
      }
    });
  });
}

void LinkServer::Impl::OnAccepted(tcp::socket socket) {
  auto weak_connection = std::make_shared<std::weak_ptr<Connection>>();
  ConnectionHooks hooks;
  hooks.accept_ = accept_;
  hooks.on_closed_ = [weak_self = weak_from_this(), weak_connection] {
    if (const auto self = weak_self.lock()) {
      self->connections_.erase(weak_connection->lock());
    }
  };
  auto connection = std::make_shared<Connection>(
      std::move(socket), Role::kServer, options_, std::move(hooks));
  *weak_connection = connection;
  connections_.insert(connection);
  connection->Start();
}

void LinkServer::Impl::Drain() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.cancel();
  const auto connections = connections_;
  for (const auto& connection : connections) {
    connection->Drain();
  }
}

int LinkServer::Impl::open_streams() const {
  int count = 0;
  for (const auto& connection : connections_) {
    count += connection->open_streams();
  }
  return count;
}

void LinkServer::Impl::Close() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.cancel();
  const auto connections = std::exchange(connections_, {});
  for (const auto& connection : connections) {
    connection->Close();
  }
}

LinkServer::LinkServer(boost::asio::io_context& io,
                       LinkOptions options,
                       Accept accept)
    : impl_(std::make_shared<Impl>(io, options, std::move(accept))) {}

LinkServer::~LinkServer() {
  Close();
}

Result<Endpoint> LinkServer::Listen(const Endpoint& endpoint) {
  return impl_->Listen(endpoint);
}

void LinkServer::Drain() {
  impl_->Drain();
}

int LinkServer::open_streams() const {
  return impl_->open_streams();
}

void LinkServer::Close() {
  const auto impl = impl_;
  impl->Close();
}

}  // namespace bergamotscale::link
