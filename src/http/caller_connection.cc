#include "src/http/caller_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

#include <glog/logging.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "src/http/listener.h"

namespace bergamotscale::http {
namespace {

namespace asio = boost::asio;

constexpr Millis kLingerTimeout(2000);
// A response is considered complete after this time without further bytes.
constexpr Millis kReplyIdleTime(100);
// During a stop, a new connection without a request stays open for this time.
constexpr Millis kFirstRequestTime(1000);
constexpr int kServiceUnavailable = 503;

std::string RefusalText(ErrorCode code) {
  const std::string body = ErrorJson(code, Verdict::kNotExecuted);
  const int status = HttpStatusOf(code);
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Refused\r\n";
  text += "Content-Type: application/json\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  if (status == kServiceUnavailable) {
    text += "Retry-After: 1\r\n";
  }
  return text + "Connection: close\r\n\r\n" + body;
}

}  // namespace

CallerConnection::CallerConnection(
    Tcp::socket caller,
    std::shared_ptr<const CallerGuardOptions> options,
    std::shared_ptr<CallerRegistry> registry,
    ClosedHook on_closed)
    : caller_(std::move(caller)),
      listener_(caller_.get_executor()),
      options_(std::move(options)),
      registry_(std::move(registry)),
      on_closed_(std::move(on_closed)),
      bounds_(options_->max_header_, options_->max_body_),
      last_activity_(clock_.Now()) {
  AsioError ignored;
  caller_.set_option(Tcp::no_delay(true), ignored);
}

void CallerConnection::Start() {
  address_ = registry_->Add();
  AsioError error;
  listener_.open(Tcp::v4(), error);
  if (!error) {
    listener_.bind(Tcp::endpoint(asio::ip::make_address(address_), 0), error);
  }
  if (error) {
    LOG(WARNING) << "caller guard: can't open a socket at " << address_ << ": "
                 << error.message();
    Refuse(ErrorCode::kOverloaded);
    return;
  }
  listener_.set_option(Tcp::no_delay(true), error);
  const link::Endpoint& target = options_->listener_endpoint_;
  listener_.async_connect(
      Tcp::endpoint(asio::ip::make_address(target.address_), target.port_),
      [self = shared_from_this()](AsioError failure) {
        if (self->closed_ || self->lingering_) {
          return;
        }
        if (failure) {
          LOG(WARNING) << "caller guard: can't reach the listener: "
                       << failure.message();
          self->Refuse(ErrorCode::kOverloaded);
        } else {
          self->OnConnected();
        }
      });
}

void CallerConnection::OnConnected() {
  ReadCaller();
  ReadListener();
}

void CallerConnection::ReadCaller() {
  reading_caller_ = true;
  caller_.async_read_some(
      asio::buffer(from_caller_),
      [self = shared_from_this()](AsioError error, size_t count) {
        self->reading_caller_ = false;
        if (self->closed_) {
          return;
        }
        if (error) {
          self->Close();
        } else if (self->lingering_) {
          self->ReadCaller();
        } else {
          self->buffer_begin_ = 0;
          self->buffer_end_ = count;
          self->ForwardBuffered();
        }
      });
}

void CallerConnection::ForwardBuffered() {
  if (bounds_.awaiting_reply()) {
    next_request_waits_ = true;
    return;
  }
  size_t count = 0;
  const ErrorCode result = AcceptBuffered(&count);
  if (result != ErrorCode::kOk) {
    Refuse(result);
    return;
  }
  writing_listener_ = true;
  const char* begin = from_caller_.data() + buffer_begin_;
  buffer_begin_ += count;
  asio::async_write(listener_, asio::buffer(begin, count),
                    [self = shared_from_this()](AsioError error, size_t) {
                      self->writing_listener_ = false;
                      // If the listener has closed the connection, its last
                      // response may still be unread, so ReadListener() ends
                      // the relay.
                      if (!error && !self->closed_ && !self->lingering_) {
                        self->OnForwarded();
                      }
                    });
}

void CallerConnection::OnForwarded() {
  if (buffer_begin_ == buffer_end_) {
    ReadCaller();
  } else {
    // Bytes are left over only after the end of a request.
    next_request_waits_ = true;
  }
}

// @return whether the response to the previous request is complete, so that the
// next request can be forwarded.
bool CallerConnection::MayForwardNext(Millis now) const {
  return next_request_waits_ && !writing_listener_ && !writing_caller_ &&
         !bounds_.awaiting_reply() &&
         registry_->requests_in_progress(address_) == 0 &&
         now - last_activity_ > kReplyIdleTime;
}

ErrorCode CallerConnection::AcceptBuffered(size_t* taken) {
  const int64_t requests_before = bounds_.requests_begun();
  const RequestPhase phase_before = bounds_.phase();
  const std::string_view buffered(from_caller_.data() + buffer_begin_,
                                  buffer_end_ - buffer_begin_);
  const ErrorCode result = bounds_.Take(buffered, taken);
  const bool begun = bounds_.requests_begun() != requests_before;
  if (begun) {
    pipelined_ =
        writing_caller_ || registry_->requests_in_progress(address_) > 0;
  }
  last_activity_ = clock_.Now();
  if (begun || bounds_.phase() != phase_before) {
    phase_start_ = last_activity_;
  }
  return result;
}

void CallerConnection::ReadListener() {
  listener_.async_read_some(
      asio::buffer(from_listener_),
      [self = shared_from_this()](AsioError error, size_t count) {
        if (self->closed_ || self->lingering_) {
          return;
        }
        if (error) {
          self->Linger();
        } else {
          self->OnListenerBytes(count);
        }
      });
}

void CallerConnection::OnListenerBytes(size_t count) {
  bounds_.OnReply();
  last_activity_ = clock_.Now();
  write_start_ = last_activity_;
  writing_caller_ = true;
  asio::async_write(caller_, asio::buffer(from_listener_.data(), count),
                    [self = shared_from_this()](AsioError error, size_t) {
                      self->writing_caller_ = false;
                      if (self->closed_ || self->lingering_) {
                        return;
                      }
                      if (error) {
                        self->Close();
                      } else {
                        self->last_activity_ = self->clock_.Now();
                        self->ReadListener();
                      }
                    });
}

void CallerConnection::Refuse(ErrorCode code) {
  if (options_->on_refused_) {
    options_->on_refused_(code);
  }
  if (writing_caller_ || pipelined_) {
    // An error response would mix with the response to an earlier request.
    Close();
    return;
  }
  EndRelay();
  lingering_ = true;
  linger_start_ = clock_.Now();
  refusal_ = RefusalText(code);
  asio::async_write(caller_, asio::buffer(refusal_),
                    [self = shared_from_this()](AsioError error, size_t) {
                      if (error) {
                        self->Close();
                      } else if (!self->closed_) {
                        self->Linger();
                      }
                    });
}

void CallerConnection::Linger() {
  EndRelay();
  lingering_ = true;
  linger_start_ = clock_.Now();
  AsioError ignored;
  caller_.shutdown(Tcp::socket::shutdown_send, ignored);
  if (!reading_caller_) {
    ReadCaller();
  }
}

void CallerConnection::EndRelay() {
  AsioError ignored;
  listener_.close(ignored);
  if (!address_.empty()) {
    registry_->Remove(std::exchange(address_, std::string()));
  }
}

void CallerConnection::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  const auto self = shared_from_this();
  EndRelay();
  AsioError ignored;
  caller_.close(ignored);
  const ClosedHook on_closed = std::exchange(on_closed_, nullptr);
  if (on_closed) {
    on_closed(self);
  }
}

void CallerConnection::Sweep(bool stopping) {
  const Millis now = clock_.Now();
  if (lingering_) {
    if (now - linger_start_ > kLingerTimeout) {
      Close();
    }
    return;
  }
  const bool stuck =
      writing_caller_ && now - write_start_ > options_->idle_timeout_;
  if (stuck || (!reading_caller_ && CallerHasLeft())) {
    Close();
    return;
  }
  if (MayForwardNext(now)) {
    next_request_waits_ = false;
    ForwardBuffered();
    return;
  }
  const ErrorCode late = CheckDeadlines(now);
  const bool idle = Idle() && now - last_activity_ > AllowedIdle(stopping);
  const bool overdue = late != ErrorCode::kOk || idle;
  const bool was_overdue = std::exchange(overdue_, overdue);
  // A sweep may run before reads whose bytes have already arrived. The caller
  // has then sent them in time, and this process is late.
  if (!overdue || !was_overdue || HasUnread()) {
    return;
  }
  if (late != ErrorCode::kOk) {
    Refuse(late);
  } else {
    Close();
  }
}

bool CallerConnection::HasUnread() const {
  AsioError error;
  return caller_.available(error) > 0;
}

Millis CallerConnection::AllowedIdle(bool stopping) const {
  if (!stopping) {
    return options_->idle_timeout_;
  }
  return bounds_.requests_begun() == 0 ? kFirstRequestTime : kReplyIdleTime;
}

bool CallerConnection::Idle() const {
  return bounds_.phase() == RequestPhase::kBetween && !writing_caller_ &&
         !next_request_waits_ && !bounds_.awaiting_reply() &&
         registry_->requests_in_progress(address_) == 0;
}

// @return kCallerTooSlow if the caller exceeds a time limit, else kOk. The
// caller is not late while the guard waits for the listener to accept bytes.
ErrorCode CallerConnection::CheckDeadlines(Millis now) const {
  if (!reading_caller_) {
    return ErrorCode::kOk;
  }
  const Millis waited = now - phase_start_;
  const RequestPhase phase = bounds_.phase();
  const bool late_headers =
      phase == RequestPhase::kHeaders && waited > options_->header_timeout_;
  const bool in_body =
      phase == RequestPhase::kSizedBody ||
      (phase == RequestPhase::kUnsizedBody && !bounds_.unsized_body_ended());
  const bool late_body = in_body && waited > options_->body_timeout_;
  return late_headers || late_body ? ErrorCode::kCallerTooSlow : ErrorCode::kOk;
}

// Uses TCP_INFO, because a read would return the unread bytes before the end of
// the stream.
bool CallerConnection::CallerHasLeft() {
  tcp_info info = {};
  socklen_t size = sizeof(info);
  const int failed =
      getsockopt(caller_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  return failed != 0 || info.tcpi_state == TCP_CLOSE_WAIT ||
         info.tcpi_state == TCP_CLOSE;
}

}  // namespace bergamotscale::http
