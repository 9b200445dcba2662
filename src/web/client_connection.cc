#include "src/web/client_connection.h"

#include <sys/socket.h>

#include <cerrno>
#include <optional>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "bergamotscale/clock.h"
#include "src/core/chrono_time.h"
#include "src/web/one_shot_timer.h"
#include "src/web/peer_watch.h"
#include "src/web/socket_options.h"

namespace bergamotscale::web {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

// Limit of the headers of a response.
constexpr uint32_t kMaxResponseHeader = 64 * 1024;
// Limit of the body of a response, so that a corrupt length does not reserve
// all memory.
constexpr uint64_t kMaxResponseBody = uint64_t{64} << 20;
// Limits on what precedes the response to a request: heads of interim responses
// and of responses to other requests, and the bodies of the latter.
constexpr int kMaxSkippedHeads = 16;
constexpr size_t kMaxSkippedBytes = size_t{256} << 10;
constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
constexpr int64_t kMillisPerSecond = 1000;
// A peer that confirms nothing is looked for this long after a request was
// sent, and then at this interval until it has confirmed the request.
constexpr Millis kFirstWatch = Millis(400);
constexpr Millis kWatchInterval = Millis(200);

using Parser = http::response_parser<http::string_body>;

// @return the value of "timeout=SECONDS" in a Keep-Alive header; zero if
// missing.
Millis ReadKeepAlive(boost::beast::string_view value) {
  constexpr boost::beast::string_view kName = "timeout=";
  const size_t position = value.find(kName);
  if (position == boost::beast::string_view::npos) {
    return Millis(0);
  }
  int64_t seconds = 0;
  for (const char c : value.substr(position + kName.size())) {
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
      : socket_(io),
        timer_(io),
        watch_timer_(io.get_executor()),
        peer_(std::move(peer)) {}

  void Connect(Millis timeout, OnConnected on_connected) {
    on_connected_ = std::move(on_connected);
    timer_.expires_after(ToChrono(timeout));
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) {
        self->FinishConnect(boost::asio::error::timed_out);
      }
    });
    error_code failed;
    socket_.open(tcp::v4(), failed);
    if (failed) {
      boost::asio::post(
          socket_.get_executor(),
          [self = shared_from_this(), failed] { self->FinishConnect(failed); });
      return;
    }
    SetConnectionOptions(socket_);
    // Lets a listener start on the port that this connection gets.
    socket_.set_option(tcp::socket::reuse_address(true), failed);
    socket_.async_connect(peer_,
                          [self = shared_from_this()](const error_code& error) {
                            self->FinishConnect(error);
                          });
  }

  void Send(OutgoingRequest call, ResponseHooks hooks) {
    hooks_ = std::make_shared<const ResponseHooks>(std::move(hooks));
    in_call_ = true;
    keeps_open_ = true;
    end_ = CallResult();
    skipped_heads_ = 0;
    skipped_bytes_ = 0;
    write_error_ = error_code();
    is_head_request_ = call.method_ == "HEAD";
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
    watch_.Begin(socket_);
    WatchPeer(kFirstWatch);
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
      ResetOnClose();
    }
    hooks_ = nullptr;
    on_connected_ = nullptr;
    on_unusable_ = nullptr;
    in_call_ = false;
    keeps_open_ = false;
    timer_.cancel();
    watch_timer_.Cancel();
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
                         // During a request, its own reads handle the input.
                         if (!error && !self->in_call_) {
                           self->MarkUnusable();
                         }
                       });
  }

  bool usable() const {
    return socket_.is_open() && keeps_open_ && !in_call_ && !writing_ &&
           buffer_.size() == 0;
  }
  bool IsAlive() {
    if (!usable()) {
      return false;
    }
    char byte = 0;
    const ssize_t received = ::recv(socket_.native_handle(), &byte,
                                    sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }
  Millis keep_alive() const { return keep_alive_; }

 private:
  void FinishConnect(const error_code& error) {
    if (!on_connected_) {
      return;
    }
    const OnConnected on_connected = std::move(on_connected_);
    on_connected_ = nullptr;
    timer_.cancel();
    keeps_open_ = !error;
    if (error) {
      error_code ignored;
      socket_.close(ignored);
    }
    on_connected(error);
  }

  // A cancelled request must not reach the peer from local send buffers. A
  // reset discards them, while a close would still send them.
  void ResetOnClose() {
    error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  }

  void MarkUnusable() {
    keeps_open_ = false;
    if (on_unusable_) {
      const std::function<void()> on_unusable = std::move(on_unusable_);
      on_unusable_ = nullptr;
      on_unusable();
    }
  }

  // Ends the request if the peer is lost.
  void WatchPeer(Millis after) {
    watch_timer_.Start(after, [self = shared_from_this()] {
      if (!self->in_call_) {
        return;
      }
      if (self->watch_.Check(self->socket_, self->boot_.Now())) {
        self->OnPeerLost();
      } else if (self->writing_ || self->watch_.unconfirmed() > 0) {
        self->WatchPeer(kWatchInterval);
      }
    });
  }

  void OnPeerLost() {
    write_error_ = boost::asio::error::timed_out;
    ResetOnClose();
    error_code ignored;
    socket_.close(ignored);
    // A paused response has no read that would fail.
    if (paused_) {
      Fail(write_error_);
    }
  }

  void OnWritten(const error_code& error) {
    writing_ = false;
    request_.reset();
    // A response that the peer sent before it closed is still read; the reads
    // notice the end of the connection themselves.
    if (error) {
      keeps_open_ = false;
      write_error_ = write_error_ ? write_error_ : error;
    }
  }

  void ReadHead() {
    parser_.emplace();
    parser_->header_limit(kMaxResponseHeader);
    parser_->body_limit(kMaxResponseBody);
    parser_->eager(false);
    if (is_head_request_) {
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
    if (status < kFirstStatus || status > kLastStatus) {
      Fail(http::error::bad_status);
      return;
    }
    if (status < kFirstFinalStatus) {
      SkipHead();
      return;
    }
    ResponseHead head;
    head.status_ = status;
    head.headers_ = EndToEndHeaders(message.base());
    head.has_length_ = !message[http::field::content_length].empty();
    keep_alive_ = ReadKeepAlive(message[http::field::keep_alive]);
    keeps_open_ = keeps_open_ && parser_->keep_alive();
    // A hook may close this connection, which releases the hooks.
    const std::shared_ptr<const ResponseHooks> hooks = hooks_;
    is_mismatched_ = hooks->matches_request_ && !hooks->matches_request_(head);
    if (!is_mismatched_) {
      hooks->on_head_(head);
    }
    if (in_call_) {
      ReadBody();
    }
  }

  // Reads the next head, unless too many came before the response.
  void SkipHead() {
    if (++skipped_heads_ > kMaxSkippedHeads) {
      Fail(http::error::header_limit);
      return;
    }
    ReadHead();
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
    bool keep_reading = true;
    if (is_mismatched_) {
      skipped_bytes_ += bytes.size();
      if (skipped_bytes_ > kMaxSkippedBytes) {
        Fail(http::error::body_limit);
        return;
      }
    } else if (!bytes.empty()) {
      const std::shared_ptr<const ResponseHooks> hooks = hooks_;
      keep_reading = hooks->on_body_(std::move(bytes));
    }
    if (!in_call_) {
      return;
    }
    if (error) {
      Fail(error);
    } else if (keep_reading || parser_->is_done()) {
      ReadBody();
    } else {
      paused_ = true;
    }
  }

  void Finish() {
    if (is_mismatched_) {
      if (!keeps_open_) {
        Fail(boost::asio::error::eof);
        return;
      }
      SkipHead();
      return;
    }
    const bool ended_by_close = parser_->need_eof();
    if (ended_by_close && !HasEndedInOrder()) {
      Fail(boost::asio::error::connection_reset);
      return;
    }
    end_.complete_ = true;
    end_.ended_by_close_ = ended_by_close;
    End();
  }

  // A reset that fails a write isn't reported to the next read, which tells the
  // end of the input as after a close.
  bool HasEndedInOrder() {
    int pending = 0;
    socklen_t size = sizeof(pending);
    getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &pending, &size);
    return !writing_ && !write_error_ && pending == 0;
  }

  void Fail(const error_code& error) {
    keeps_open_ = false;
    // The end of the input tells less than why the connection broke.
    const bool is_end = error == http::error::end_of_stream ||
                        error == http::error::partial_message ||
                        error == boost::asio::error::operation_aborted;
    end_.error_ = is_end && write_error_ ? write_error_ : error;
    end_.malformed_ =
        error.category() ==
            make_error_code(http::error::end_of_stream).category() &&
        error != http::error::end_of_stream &&
        error != http::error::partial_message;
    End();
  }

  void End() {
    in_call_ = false;
    watch_timer_.Cancel();
    parser_.reset();
    const std::shared_ptr<const ResponseHooks> hooks = std::move(hooks_);
    hooks_ = nullptr;
    if (hooks->on_end_) {
      hooks->on_end_(end_);
    }
  }

  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  OneShotTimer watch_timer_;
  PeerWatch watch_;
  const Clock boot_ = Clock::Boot();
  const tcp::endpoint peer_;
  // Bounds what precedes and follows a body, too.
  boost::beast::flat_buffer buffer_{kMaxHeaderField};
  std::optional<http::request<http::string_body>> request_;
  std::optional<Parser> parser_;
  std::shared_ptr<const ResponseHooks> hooks_;
  OnConnected on_connected_;
  std::function<void()> on_unusable_;
  CallResult end_;
  error_code write_error_;
  Millis keep_alive_;
  bool in_call_ = false;
  bool keeps_open_ = false;
  bool writing_ = false;
  bool watching_ = false;
  bool paused_ = false;
  bool is_mismatched_ = false;
  int skipped_heads_ = 0;
  size_t skipped_bytes_ = 0;
  bool is_head_request_ = false;
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

void ClientConnection::Send(OutgoingRequest call, ResponseHooks hooks) {
  impl_->Send(std::move(call), std::move(hooks));
}

void ClientConnection::Resume() {
  impl_->Resume();
}

void ClientConnection::Close() {
  impl_->Close();
}

void ClientConnection::KeepWhileOpen(std::shared_ptr<const void> object) {
  kept_ = std::move(object);
}

void ClientConnection::WatchIdle(std::function<void()> on_unusable) {
  impl_->WatchIdle(std::move(on_unusable));
}

bool ClientConnection::usable() const {
  return impl_->usable();
}

bool ClientConnection::IsAlive() {
  return impl_->IsAlive();
}

Millis ClientConnection::keep_alive() const {
  return impl_->keep_alive();
}

}  // namespace bergamotscale::web
