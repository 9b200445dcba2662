#include "src/web/listener.h"

#include <charconv>
#include <system_error>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamotscale/clock.h"
#include "src/core/chrono_time.h"

namespace bergamotscale::web {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Pause before accepting again when descriptors or sessions are at their limit.
constexpr Millis kAcceptPause = Millis(10);

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
  Impl(boost::asio::io_context& io,
       SessionHooks hooks,
       size_t max_sessions,
       int backlog)
      : acceptor_(io),
        accept_timer_(io),
        inspect_timer_(io),
        hooks_(std::move(hooks)),
        max_sessions_(max_sessions),
        backlog_(backlog) {}

  Status Start(const tcp::endpoint& address) {
    error_code error;
    acceptor_.open(tcp::v4(), error);
    if (!error) {
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error && hooks_.system_buffer_ < kMaxSystemBuffer) {
      // Connections take the size of the listening socket. What a client has
      // sent before its connection is accepted counts, too.
      acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(
                               static_cast<int>(hooks_.system_buffer_.count())),
                           error);
    }
    if (!error) {
      acceptor_.bind(address, error);
    }
    if (!error) {
      acceptor_.listen(backlog_, error);
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

  // Call before the listener is destroyed.
  void StopInspecting() { inspect_timer_.cancel(); }

  void CloseIdle() { ForEachSession(&CallerSession::CloseIfIdle); }

  void RejectUnread() { ForEachSession(&CallerSession::RejectUnread); }

  void CutOff() { ForEachSession(&CallerSession::CutOff); }

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
    if (error) {
      AcceptLater();
    } else {
      AcceptNext();
    }
  }

  void AcceptNext() {
    if (sessions_.size() < max_sessions_) {
      Accept();
      return;
    }
    acceptor_.async_wait(tcp::acceptor::wait_read,
                         [self = shared_from_this()](const error_code& error) {
                           if (error || !self->acceptor_.is_open()) {
                             return;
                           }
                           if (self->MakeRoom()) {
                             self->Accept();
                           } else {
                             self->AcceptLater();
                           }
                         });
  }

  // @return whether there is room for a session, after one has given way if
  // need be.
  bool MakeRoom() {
    if (sessions_.size() < max_sessions_) {
      return true;
    }
    std::vector<policy::WaitingSession> waiting;
    std::vector<CallerSession*> waiting_sessions;
    for (const auto& [number, session] : sessions_) {
      if (const auto wait = session->Waiting()) {
        waiting.push_back(*wait);
        waiting_sessions.push_back(session.get());
      }
    }
    const auto chosen = policy::ChooseSessionToClose(waiting, boot_.Now());
    if (chosen.has_value()) {
      waiting_sessions[*chosen]->GiveWay();
    }
    return sessions_.size() < max_sessions_;
  }

  void AcceptLater() {
    accept_timer_.expires_after(ToChrono(kAcceptPause));
    accept_timer_.async_wait(
        [self = shared_from_this()](const error_code& error) {
          if (error || !self->acceptor_.is_open()) {
            return;
          }
          self->AcceptNext();
        });
  }

  void InspectLater() {
    if (is_inspecting_ || sessions_.empty()) {
      return;
    }
    is_inspecting_ = true;
    inspect_timer_.expires_after(ToChrono(kInspectInterval));
    inspect_timer_.async_wait(
        [self = shared_from_this()](const error_code& error) {
          self->is_inspecting_ = false;
          if (!error) {
            self->ForEachSession(&CallerSession::Inspect);
            self->InspectLater();
          }
        });
  }

  void StartSession(tcp::socket socket) {
    const uint64_t number = ++last_session_number_;
    SessionHooks hooks = hooks_;
    // At the limit, responses end their connections: one that always has a
    // next request would never wait.
    hooks.stopping_ = [weak = weak_from_this(), stopping = hooks_.stopping_] {
      const auto self = weak.lock();
      return stopping() ||
             (self != nullptr && self->sessions_.size() >= self->max_sessions_);
    };
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
    InspectLater();
  }

  tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  boost::asio::steady_timer inspect_timer_;
  const Clock boot_ = Clock::Boot();
  const SessionHooks hooks_;
  const size_t max_sessions_;
  const int backlog_;
  bool is_inspecting_ = false;
  std::unordered_map<uint64_t, std::unique_ptr<CallerSession>> sessions_;
  uint64_t last_session_number_ = 0;
};

Listener::Listener(boost::asio::io_context& io,
                   SessionHooks hooks,
                   size_t max_sessions,
                   int backlog)
    : impl_(
          std::make_shared<Impl>(io, std::move(hooks), max_sessions, backlog)) {
}

Listener::~Listener() {
  impl_->Close();
  impl_->StopInspecting();
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

void Listener::CutOff() {
  impl_->CutOff();
}

size_t Listener::sessions() const {
  return impl_->sessions();
}

}  // namespace bergamotscale::web
