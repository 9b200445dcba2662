#include "src/web/caller_session.h"

#include <sys/socket.h>

#include <array>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "src/web/one_shot_timer.h"
#include "src/web/socket_options.h"

namespace bergamotscale::web {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int kStatusBadRequest = 400;
constexpr int kStatusTimeout = 408;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusHeadersTooLarge = 431;
// A source pauses while more than this waits for the caller.
constexpr size_t kWriteHighWater = size_t{256} << 10;
// How long bytes are still read after a refusal, so that the close does not
// reset the connection before the caller has read the refusal.
constexpr Millis kLinger = Millis(1'000);
// A refused caller's further bytes are dropped up to this many.
constexpr size_t kLingerBytes = size_t{8} << 20;
constexpr int64_t kMillisPerSecond = 1000;

int StatusOf(const error_code& error) {
  if (error == http::error::header_limit) {
    return kStatusHeadersTooLarge;
  }
  if (error == http::error::body_limit) {
    return kStatusTooLarge;
  }
  return kStatusBadRequest;
}

}  // namespace

class CallerSession::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(tcp::socket socket, SessionHooks hooks)
      : socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        hooks_(std::move(hooks)) {}

  void Start() {
    SetConnectionOptions(socket_);
    Await();
  }

  void CloseIfIdle() {
    if (waiting_ && buffer_.size() == 0 && !HasUnread()) {
      Close();
    }
  }

  // The methods of Responder, for the call that is in progress.
  void Reply(int status, HeaderList headers, std::string body) {
    if (closed_) {
      return;
    }
    answered_ = true;
    auto message = std::make_shared<http::response<http::string_body>>();
    SetHead(&message->base(), status, headers);
    message->body() = std::move(body);
    if (is_head_) {
      message->content_length(0);
    } else {
      message->content_length(message->body().size());
    }
    http::async_write(socket_, *message,
                      [self = shared_from_this(), message](
                          const error_code& error, size_t /*bytes*/) {
                        self->OnAnswered(error);
                      });
  }

  void BeginStream(int status, const HeaderList& headers) {
    if (closed_) {
      return;
    }
    http::response_header<> head;
    SetHead(&head, status, headers);
    chunked_ = version_ == 11;
    if (chunked_) {
      head.set(http::field::transfer_encoding, "chunked");
    } else {
      keeps_ = false;
      head.set(http::field::connection, "close");
    }
    http::response<http::empty_body> message(std::move(head));
    http::response_serializer<http::empty_body> serializer(message);
    serializer.split(true);
    error_code error;
    serializer.next(error, [this, &serializer](error_code& /*error*/,
                                               const auto& buffers) {
      for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
        pending_.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      serializer.consume(boost::asio::buffer_size(buffers));
    });
    Flush();
  }

  bool Write(const std::string& bytes) {
    if (closed_) {
      return true;
    }
    if (!bytes.empty()) {
      AppendPiece(bytes);
      Flush();
    }
    over_high_water_ = pending_.size() > kWriteHighWater;
    return !over_high_water_;
  }

  void EndStream() {
    if (closed_) {
      return;
    }
    answered_ = true;
    if (chunked_) {
      pending_ += "0\r\n\r\n";
    }
    Flush();
  }

  void Abort() { Close(); }

 private:
  class CallResponder;

  void SetHead(http::response_header<>* head,
               int status,
               const HeaderList& headers) {
    head->version(11);
    head->result(static_cast<unsigned>(status));
    for (const auto& [name, value] : headers.all()) {
      head->insert(name, value);
    }
    keeps_ = keeps_ && !hooks_.stopping_();
    if (!keeps_) {
      head->set(http::field::connection, "close");
    } else {
      const int64_t seconds =
          hooks_.limits_().idle_timeout_.count() / kMillisPerSecond;
      head->set(http::field::keep_alive, "timeout=" + std::to_string(seconds));
    }
  }

  void AppendPiece(const std::string& bytes) {
    if (!chunked_) {
      pending_ += bytes;
      return;
    }
    std::array<char, 20> size{};
    const int digits =
        std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    pending_.append(size.data(), static_cast<size_t>(digits));
    pending_ += bytes;
    pending_ += "\r\n";
  }

  void Flush() {
    if (writing_ || pending_.empty()) {
      return;
    }
    writing_ = true;
    written_.swap(pending_);
    pending_.clear();
    boost::asio::async_write(
        socket_, boost::asio::buffer(written_),
        [self = shared_from_this()](const error_code& error, size_t /*bytes*/) {
          self->OnFlushed(error);
        });
  }

  void OnFlushed(const error_code& error) {
    writing_ = false;
    written_.clear();
    if (closed_) {
      return;
    }
    if (error) {
      Leave();
      return;
    }
    if (!pending_.empty()) {
      Flush();
      return;
    }
    if (answered_) {
      OnAnswered({});
    } else if (over_high_water_) {
      over_high_water_ = false;
      if (caller_.on_writable_) {
        const auto on_writable = caller_.on_writable_;
        on_writable();
      }
    }
  }

  // Waits for the first byte of a request.
  void Await() {
    waiting_ = true;
    answered_ = false;
    in_call_ = false;
    caller_ = CallerHooks();
    StartTimer(hooks_.limits_().idle_timeout_,
               [](Impl& self) { self.CloseIfIdle(); });
    if (buffer_.size() > 0) {
      ReadHead();
      return;
    }
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& error) {
                         if (self->closed_) {
                           return;
                         }
                         if (error) {
                           self->Close();
                         } else {
                           self->ReadHead();
                         }
                       });
  }

  void ReadHead() {
    const SessionLimits limits = hooks_.limits_();
    waiting_ = false;
    parser_.emplace();
    parser_->header_limit(static_cast<uint32_t>(limits.max_header_.count()));
    parser_->body_limit(static_cast<uint64_t>(limits.max_body_.count()));
    StartReadTimer(limits.header_timeout_, "headers were not sent in time");
    http::async_read_header(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](const error_code& error, size_t /*bytes*/) {
          self->OnHead(error);
        });
  }

  void OnHead(const error_code& error) {
    if (closed_ || refused_) {
      return;
    }
    if (error) {
      ReadFailed(error);
      return;
    }
    const auto& message = parser_->get();
    version_ = static_cast<int>(message.version());
    const boost::beast::string_view encoding =
        message[http::field::transfer_encoding];
    if (!encoding.empty() && !boost::beast::iequals(encoding, "chunked")) {
      Refuse(kStatusBadRequest, "unknown transfer encoding");
      return;
    }
    if (message.target().empty() || message.target().front() != '/') {
      Refuse(kStatusBadRequest, "target is not in origin form");
      return;
    }
    if (message.count(http::field::host) > 1) {
      Refuse(kStatusBadRequest, "more than one Host");
      return;
    }
    if (boost::beast::iequals(message[http::field::expect], "100-continue") &&
        !parser_->is_done()) {
      pending_ += "HTTP/1.1 100 Continue\r\n\r\n";
      Flush();
    }
    ReadBody();
  }

  void ReadBody() {
    if (parser_->is_done()) {
      OnCall();
      return;
    }
    StartReadTimer(hooks_.limits_().header_timeout_, "the body stopped");
    http::async_read_some(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](const error_code& error, size_t /*bytes*/) {
          if (self->closed_ || self->refused_) {
            return;
          }
          if (error) {
            self->ReadFailed(error);
          } else {
            self->ReadBody();
          }
        });
  }

  // A caller that closed between requests or in the middle of one is gone;
  // anything else is no proper request.
  void ReadFailed(const error_code& error) {
    const bool left =
        error == http::error::end_of_stream ||
        error == http::error::partial_message ||
        error.category() !=
            make_error_code(http::error::end_of_stream).category();
    if (left) {
      Close();
    } else {
      Refuse(StatusOf(error), error.message());
    }
  }

  void Refuse(int status, const std::string& reason) {
    refused_ = true;
    keeps_ = false;
    hooks_.on_refused_(status, reason);
    HeaderList headers;
    headers.Add("Content-Type", "text/plain");
    Reply(status, headers, reason + "\n");
  }

  void OnCall();

  void StartWatch() {
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& error) {
                         if (!error) {
                           self->OnReadableInCall();
                         }
                       });
  }

  // The caller either closed or sent its next request ahead of time, which
  // waits for its turn in the kernel.
  void OnReadableInCall() {
    if (closed_ || !in_call_ || answered_) {
      return;
    }
    char byte = 0;
    const ssize_t got = recv(socket_.native_handle(), &byte, sizeof(byte),
                             MSG_PEEK | MSG_DONTWAIT);
    const bool would_block =
        got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (would_block) {
      StartWatch();
    } else if (got <= 0) {
      Leave();
    }
  }

  // The caller is gone in the middle of its call.
  void Leave() {
    const auto on_left = caller_.on_left_;
    Close();
    if (on_left) {
      on_left();
    }
  }

  void OnAnswered(const error_code& error) {
    if (closed_) {
      return;
    }
    if (error) {
      Close();
    } else if (!keeps_) {
      Linger();
    } else {
      Await();
    }
  }

  // Closes after the caller has had time to read the answer.
  void Linger() {
    in_call_ = false;
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    StartTimer(kLinger, [](Impl& self) { self.Close(); });
    DropBytes();
  }

  void DropBytes() {
    dropped_.resize(4096);
    socket_.async_read_some(
        boost::asio::buffer(dropped_),
        [self = shared_from_this()](const error_code& error, size_t bytes) {
          if (self->closed_) {
            return;
          }
          self->dropped_bytes_ += bytes;
          if (error || self->dropped_bytes_ > kLingerBytes) {
            self->Close();
          } else {
            self->DropBytes();
          }
        });
  }

  void StartTimer(Millis after, void (*expired)(Impl&)) {
    timer_.Start(after, [self = shared_from_this(), expired] {
      if (!self->closed_) {
        expired(*self);
      }
    });
  }

  // Refuses the request if the bytes that are being read are late.
  void StartReadTimer(Millis after, const char* reason) {
    timer_.StartLimit(after, [self = shared_from_this(), reason] {
      if (self->closed_) {
        return;
      }
      // Callers whose bytes wait to be read are not late.
      if (self->HasUnread()) {
        self->StartReadTimer(OneShotTimer::kReadTurn, reason);
      } else {
        self->Refuse(kStatusTimeout, reason);
      }
    });
  }

  bool HasUnread() const {
    error_code error;
    return socket_.available(error) > 0;
  }

  void Close() {
    if (closed_) {
      return;
    }
    closed_ = true;
    caller_ = CallerHooks();
    timer_.Cancel();
    error_code ignored;
    socket_.close(ignored);
    hooks_.on_closed_();
  }

  tcp::socket socket_;
  OneShotTimer timer_;
  const SessionHooks hooks_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  CallerHooks caller_;
  std::string pending_;
  std::string written_;
  std::vector<char> dropped_;
  size_t dropped_bytes_ = 0;
  int version_ = 11;
  bool waiting_ = false;
  bool in_call_ = false;
  bool is_head_ = false;
  bool keeps_ = true;
  bool chunked_ = false;
  bool writing_ = false;
  bool answered_ = false;
  bool refused_ = false;
  bool closed_ = false;
  bool over_high_water_ = false;
};

class CallerSession::Impl::CallResponder : public Responder {
 public:
  explicit CallResponder(std::shared_ptr<Impl> session)
      : session_(std::move(session)) {}

  void Reply(int status, HeaderList headers, std::string body) override {
    session_->Reply(status, std::move(headers), std::move(body));
  }
  void BeginStream(int status, HeaderList headers) override {
    session_->BeginStream(status, headers);
  }
  bool Write(std::string bytes) override { return session_->Write(bytes); }
  void EndStream() override { session_->EndStream(); }
  void Abort() override { session_->Abort(); }

 private:
  const std::shared_ptr<Impl> session_;
};

void CallerSession::Impl::OnCall() {
  timer_.Cancel();
  IncomingCall call;
  {
    auto message = parser_->release();
    keeps_ = message.keep_alive();
    call.method_ = std::string(message.method_string());
    call.target_ = std::string(message.target());
    call.host_ = std::string(message[http::field::host]);
    call.headers_ = EndToEndHeaders(message.base());
    call.body_ = std::move(message.body());
  }
  parser_.reset();
  is_head_ = call.method_ == "HEAD";
  in_call_ = true;
  StartWatch();
  CallerHooks caller = hooks_.on_call_(
      std::move(call), std::make_shared<CallResponder>(shared_from_this()));
  // The answer may have been given already.
  if (in_call_ && !answered_ && !closed_) {
    caller_ = std::move(caller);
  }
}

CallerSession::CallerSession(tcp::socket socket, SessionHooks hooks)
    : impl_(std::make_shared<Impl>(std::move(socket), std::move(hooks))) {}

CallerSession::~CallerSession() = default;
CallerSession::CallerSession(CallerSession&&) noexcept = default;
CallerSession& CallerSession::operator=(CallerSession&&) noexcept = default;

void CallerSession::Start() {
  impl_->Start();
}

void CallerSession::CloseIfIdle() {
  impl_->CloseIfIdle();
}

}  // namespace bergamotscale::web
