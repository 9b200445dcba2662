#include "src/web/listener.h"

#include <charconv>
#include <system_error>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/core/chrono_time.h"

namespace bergamotscale::web {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Pause before accepting again when descriptors or sessions are at their limit.
constexpr Millis kAcceptPause = Millis(10);
// Connections that the kernel holds until they are accepted.
constexpr int kBacklog = 1'024;

}  // namespace

Result<tcp::endpoint> ParseEndpoint(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return Error(ErrorCode::kInvalidSettings, text + ": expected IP:PORT");
  }
  error_code error;
  const auto address =
      boost::asio::ip::make_address_v4(text.substr(0, colon), error);
  uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data() + colon + 1, end, port);
  if (error || read.ec != std::errc() || read.ptr != end) {
    return Error(ErrorCode::kInvalidSettings, text + ": expected IP:PORT");
  }
  return tcp::endpoint(address, port);
}

class Listener::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, SessionHooks hooks, size_t max_sessions)
      : acceptor_(io),
        accept_timer_(io),
        hooks_(std::move(hooks)),
        max_sessions_(max_sessions) {}

  Status Start(const tcp::endpoint& address) {
    error_code error;
    acceptor_.open(tcp::v4(), error);
    if (!error) {
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      acceptor_.bind(address, error);
    }
    if (!error) {
      acceptor_.listen(kBacklog, error);
    }
    if (error) {
      error_code ignored;
      acceptor_.close(ignored);
      return Error(ErrorCode::kInternal, "listen on " +
                                             address.address().to_string() +
                                             ": " + error.message());
    }
    Accept();
    return Done{};
  }

  void StopAccepting() {
    AcceptPending();
    Close();
  }

  void Close() {
    error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
  }

  void CloseIdle() { ForEachSession(&CallerSession::CloseIfIdle); }

  void RejectUnread() { ForEachSession(&CallerSession::RejectUnread); }

  size_t sessions() const { return sessions_.size(); }

 private:
  // Iterates over a copy, because closing a session removes it from the map.
  void ForEachSession(void (CallerSession::*act)()) {
    std::vector<CallerSession*> all;
    for (const auto& [number, session] : sessions_) {
      all.push_back(session.get());
    }
    for (CallerSession* session : all) {
      (session->*act)();
    }
  }

  void Accept() {
    acceptor_.async_accept([self = shared_from_this()](const error_code& error,
                                                       tcp::socket socket) {
      self->OnAccepted(error, std::move(socket));
    });
  }

  // Accepts all connections in the backlog. Closing the acceptor would reset
  // them and lose their requests.
  void AcceptPending() {
    error_code error;
    acceptor_.non_blocking(true, error);
    while (!error && sessions_.size() < max_sessions_) {
      tcp::socket socket(acceptor_.get_executor());
      acceptor_.accept(socket, error);
      if (!error) {
        StartSession(std::move(socket));
      }
    }
  }

  void OnAccepted(const error_code& error, tcp::socket socket) {
    // The connection may have arrived just before the acceptor was closed.
    if (!error) {
      StartSession(std::move(socket));
    }
    if (!acceptor_.is_open()) {
      return;
    }
    if (error || sessions_.size() >= max_sessions_) {
      AcceptLater();
    } else {
      Accept();
    }
  }

  void AcceptLater() {
    accept_timer_.expires_after(ToChrono(kAcceptPause));
    accept_timer_.async_wait(
        [self = shared_from_this()](const error_code& error) {
          if (error || !self->acceptor_.is_open()) {
            return;
          }
          if (self->sessions_.size() >= self->max_sessions_) {
            self->AcceptLater();
          } else {
            self->Accept();
          }
        });
  }

  void StartSession(tcp::socket socket) {
    const uint64_t number = ++last_session_number_;
    SessionHooks hooks = hooks_;
    hooks.on_closed_ = [weak = weak_from_this(), number] {
      const auto self = weak.lock();
      if (self == nullptr) {
        return;
      }
      // The session is still on the call stack, so it is destroyed later.
      const auto found = self->sessions_.find(number);
      if (found != self->sessions_.end()) {
        boost::asio::post(self->accept_timer_.get_executor(),
                          [gone = std::shared_ptr<CallerSession>(
                               std::move(found->second))] {});
        self->sessions_.erase(found);
      }
    };
    auto session =
        std::make_unique<CallerSession>(std::move(socket), std::move(hooks));
    CallerSession* raw = session.get();
    sessions_[number] = std::move(session);
    raw->Start();
  }

  tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  const SessionHooks hooks_;
  const size_t max_sessions_;
  std::unordered_map<uint64_t, std::unique_ptr<CallerSession>> sessions_;
  uint64_t last_session_number_ = 0;
};

Listener::Listener(boost::asio::io_context& io,
                   SessionHooks hooks,
                   size_t max_sessions)
    : impl_(std::make_shared<Impl>(io, std::move(hooks), max_sessions)) {}

Listener::~Listener() {
  impl_->Close();
}

Status Listener::Start(const tcp::endpoint& address) {
  return impl_->Start(address);
}

void Listener::StopAccepting() {
  impl_->StopAccepting();
}

void Listener::CloseIdle() {
  impl_->CloseIdle();
}

void Listener::RejectUnread() {
  impl_->RejectUnread();
}

size_t Listener::sessions() const {
  return impl_->sessions();
}

}  // namespace bergamotscale::web
