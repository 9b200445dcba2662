#include "src/web/client_connection.h"

#include <optional>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "src/core/chrono_time.h"
#include "src/web/socket_options.h"

namespace bergamotscale::web {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

// Headers of an answer beyond this are not read.
constexpr uint32_t kMaxAnswerHeader = 64 * 1024;
// No answer is longer; a spoilt length must not reserve all memory.
constexpr uint64_t kMaxAnswerBody = uint64_t{64} << 20;
constexpr int kFirstFinalStatus = 200;
constexpr int64_t kMillisPerSecond = 1000;

using Parser = http::response_parser<http::string_body>;

// @return the seconds of "timeout=N" in a Keep-Alive header; zero if missing.
Millis ReadKeepAlive(boost::beast::string_view value) {
  constexpr boost::beast::string_view kName = "timeout=";
  const size_t at = value.find(kName);
  if (at == boost::beast::string_view::npos) {
    return Millis(0);
  }
  int64_t seconds = 0;
  for (const char c : value.substr(at + kName.size())) {
    if (c < '0' || c > '9' || seconds > kMillisPerSecond) {
      break;
    }
    seconds = seconds * 10 + (c - '0');
  }
  return Millis(seconds * kMillisPerSecond);
}

}  // namespace

class ClientConnection::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, tcp::endpoint peer)
      : socket_(io), timer_(io), peer_(std::move(peer)) {}

  void Connect(Millis timeout, OnConnected on_connected) {
    on_connected_ = std::move(on_connected);
    timer_.expires_after(ToChrono(timeout));
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) {
        self->Connected(boost::asio::error::timed_out);
      }
    });
    error_code failed;
    socket_.open(tcp::v4(), failed);
    if (failed) {
      boost::asio::post(
          socket_.get_executor(),
          [self = shared_from_this(), failed] { self->Connected(failed); });
      return;
    }
    SetConnectionOptions(socket_);
    socket_.async_connect(peer_,
                          [self = shared_from_this()](const error_code& error) {
                            self->Connected(error);
                          });
  }

  void Send(OutgoingCall call, CallHooks hooks) {
    hooks_ = std::make_shared<const CallHooks>(std::move(hooks));
    in_call_ = true;
    keeps_ = true;
    end_ = CallEnd();
    skips_body_ = call.method_ == "HEAD";
    request_.emplace();
    request_->version(11);
    request_->method_string(call.method_);
    request_->target(call.target_);
    for (const auto& [name, value] : call.headers_.all()) {
      request_->insert(name, value);
    }
    request_->body() = std::move(call.body_);
    if (!request_->body().empty() || call.method_ == "POST" ||
        call.method_ == "PUT" || call.method_ == "PATCH") {
      request_->content_length(request_->body().size());
    }
    writing_ = true;
    http::async_write(
        socket_, *request_,
        [self = shared_from_this()](const error_code& error, size_t /*bytes*/) {
          self->OnWritten(error);
        });
    ReadHead();
  }

  void Resume() {
    if (in_call_ && paused_) {
      paused_ = false;
      ReadBody();
    }
  }

  void Close() {
    if (in_call_) {
      DropUnsent();
    }
    hooks_ = nullptr;
    on_connected_ = nullptr;
    on_unusable_ = nullptr;
    in_call_ = false;
    keeps_ = false;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
  }

  void WatchIdle(std::function<void()> on_unusable) {
    on_unusable_ = std::move(on_unusable);
    if (watching_) {
      return;
    }
    watching_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& error) {
                         self->watching_ = false;
                         // In a call, the call's own reads see what came.
                         if (!error && !self->in_call_) {
                           self->BecomeUnusable();
                         }
                       });
  }

  bool usable() const {
    return socket_.is_open() && keeps_ && !in_call_ && !writing_ &&
           buffer_.size() == 0;
  }
  Millis keep_alive() const { return keep_alive_; }

 private:
  void Connected(const error_code& error) {
    if (!on_connected_) {
      return;
    }
    const OnConnected on_connected = std::move(on_connected_);
    on_connected_ = nullptr;
    timer_.cancel();
    keeps_ = !error;
    if (error) {
      error_code ignored;
      socket_.close(ignored);
    }
    on_connected(error);
  }

  // An abandoned call must not go on reaching its peer from this side's queues:
  // a reset drops what they hold, where a close would still send it.
  void DropUnsent() {
    error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  }

  void BecomeUnusable() {
    keeps_ = false;
    if (on_unusable_) {
      const std::function<void()> on_unusable = std::move(on_unusable_);
      on_unusable_ = nullptr;
      on_unusable();
    }
  }

  void OnWritten(const error_code& error) {
    writing_ = false;
    request_.reset();
    // What the peer has answered before it closed is still read; the reads
    // see the end of the connection themselves.
    if (error) {
      keeps_ = false;
    }
  }

  void ReadHead() {
    parser_.emplace();
    parser_->header_limit(kMaxAnswerHeader);
    parser_->body_limit(kMaxAnswerBody);
    parser_->eager(false);
    if (skips_body_) {
      parser_->skip(true);
    }
    http::async_read_header(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](const error_code& error, size_t /*bytes*/) {
          self->OnHead(error);
        });
  }

  void OnHead(const error_code& error) {
    if (!in_call_) {
      return;
    }
    if (error) {
      Fail(error);
      return;
    }
    const auto& message = parser_->get();
    const int status = static_cast<int>(message.result_int());
    if (status < kFirstFinalStatus) {
      ReadHead();
      return;
    }
    AnswerHead head;
    head.status_ = status;
    head.headers_ = EndToEndHeaders(message.base());
    keep_alive_ = ReadKeepAlive(message[http::field::keep_alive]);
    keeps_ = keeps_ && parser_->keep_alive();
    // A hook may close this connection, which lets go of the hooks.
    const std::shared_ptr<const CallHooks> hooks = hooks_;
    foreign_ = hooks->is_ours_ && !hooks->is_ours_(head);
    if (!foreign_) {
      hooks->on_head_(head);
    }
    if (in_call_) {
      ReadBody();
    }
  }

  void ReadBody() {
    if (parser_->is_done()) {
      Finish();
      return;
    }
    http::async_read_some(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](const error_code& error, size_t /*bytes*/) {
          self->OnBody(error);
        });
  }

  void OnBody(const error_code& error) {
    if (!in_call_) {
      return;
    }
    std::string bytes;
    bytes.swap(parser_->get().body());
    bool go_on = true;
    if (!bytes.empty() && !foreign_) {
      const std::shared_ptr<const CallHooks> hooks = hooks_;
      go_on = hooks->on_body_(std::move(bytes));
    }
    if (!in_call_) {
      return;
    }
    if (error) {
      Fail(error);
    } else if (go_on || parser_->is_done()) {
      ReadBody();
    } else {
      paused_ = true;
    }
  }

  void Finish() {
    if (foreign_) {
      if (!keeps_) {
        Fail(boost::asio::error::eof);
        return;
      }
      ReadHead();
      return;
    }
    end_.complete_ = true;
    End();
  }

  void Fail(const error_code& error) {
    keeps_ = false;
    end_.error_ = error;
    end_.malformed_ =
        error.category() ==
            make_error_code(http::error::end_of_stream).category() &&
        error != http::error::end_of_stream &&
        error != http::error::partial_message;
    End();
  }

  void End() {
    in_call_ = false;
    parser_.reset();
    const std::shared_ptr<const CallHooks> hooks = std::move(hooks_);
    hooks_ = nullptr;
    if (hooks->on_end_) {
      hooks->on_end_(end_);
    }
  }

  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  const tcp::endpoint peer_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request<http::string_body>> request_;
  std::optional<Parser> parser_;
  std::shared_ptr<const CallHooks> hooks_;
  OnConnected on_connected_;
  std::function<void()> on_unusable_;
  CallEnd end_;
  Millis keep_alive_;
  bool in_call_ = false;
  bool keeps_ = false;
  bool writing_ = false;
  bool watching_ = false;
  bool paused_ = false;
  bool foreign_ = false;
  bool skips_body_ = false;
};

ClientConnection::ClientConnection(boost::asio::io_context& io,
                                   tcp::endpoint peer)
    : impl_(std::make_shared<Impl>(io, std::move(peer))) {}

ClientConnection::~ClientConnection() {
  impl_->Close();
}

void ClientConnection::Connect(Millis timeout, OnConnected on_connected) {
  impl_->Connect(timeout, std::move(on_connected));
}

void ClientConnection::Send(OutgoingCall call, CallHooks hooks) {
  impl_->Send(std::move(call), std::move(hooks));
}

void ClientConnection::Resume() {
  impl_->Resume();
}

void ClientConnection::Close() {
  impl_->Close();
}

void ClientConnection::WatchIdle(std::function<void()> on_unusable) {
  impl_->WatchIdle(std::move(on_unusable));
}

bool ClientConnection::usable() const {
  return impl_->usable();
}

Millis ClientConnection::keep_alive() const {
  return impl_->keep_alive();
}

}  // namespace bergamotscale::web
