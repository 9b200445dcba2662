#include "src/web/caller_session.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/completion_condition.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "bergamotscale/clock.h"
#include "src/web/one_shot_timer.h"
#include "src/web/peer_watch.h"
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
constexpr int kStatusUnavailable = 503;
// Retry-After, in seconds, of a request that was rejected while it was read:
// other processes can take it.
constexpr char kRetryAfter[] = "0.1";
// The source pauses while more than this is buffered for the caller, unless
// there is memory to spare: servers cut off responses that nobody reads.
constexpr size_t kWriteHighWater = size_t{256} << 10;
// Time for which input is still read after a rejection, so that closing the
// socket does not reset the connection before the caller has read the response.
constexpr Millis kLingerTime = Millis(1'000);
// How often a session that is to be closed checks whether the caller has
// confirmed the response.
constexpr Millis kConfirmationCheckInterval = Millis(50);
// Limit of the input that is discarded from a rejected caller.
constexpr size_t kMaxLingerBytes = size_t{8} << 20;
constexpr int64_t kMillisPerSecond = 1000;
// A request that the caller sent at the end of the announced idle time arrives
// within this time.
constexpr Millis kIdleMargin = Millis(500);
constexpr char kInterimResponse[] = "HTTP/1.1 100 Continue\r\n\r\n";
// A caller whose input has ended may still read. A write tells: a closed
// connection answers it with a reset. Single bytes are written for that which
// belong to the response in any case: before its head the start of the status
// line, between two chunks a leading zero of the next one's size. They are
// repeated, as the caller may also close later.
constexpr std::string_view kStatusLineStart = "HTTP/1.1 ";
// Recipients accept at least 16 digits; a size has at most eight others.
constexpr size_t kMaxLeadingZeros = 8;
constexpr Millis kResetCheckInterval = Millis(100);
// A caller that reads less than this in kMinUnreadTime counts as not reading.
constexpr size_t kMinReadBytes = 4'096;
// A rejected caller whose fields take more memory is closed at once.
constexpr size_t kMaxLingeringFields = size_t{32} << 10;
// A response that comes at the end of its request's time, or later, is kept for
// this long. A lost packet is repeated within it.
constexpr Millis kMinTimeToRead = Millis(2'000);
constexpr char kNoMemory[] = "no memory for the request";
// Why a caller did not get its response.
constexpr char kNoMemoryForOutput[] = "no memory for the unread response";
constexpr char kSilentCaller[] = "the caller confirms nothing";
constexpr char kUnreadTooLong[] = "the caller did not read it in time";
constexpr char kGaveWay[] = "other connections waited";
constexpr char kBrokenConnection[] = "the connection broke";
constexpr char kProcessEnds[] = "the process ends";

// Keeps the memory of a small buffer for the next use.
void ReleaseBuffer(std::string* buffer) {
  if (buffer->capacity() > kWriteHighWater) {
    std::string().swap(*buffer);
  } else {
    buffer->clear();
  }
}

int StatusForError(const error_code& error) {
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
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
    SetConnectionOptions(socket_, hooks_.system_buffer_);
    if (hooks_.buffers_ != nullptr) {
      request_account_.emplace(*hooks_.buffers_, policy::BufferUse::kRequest,
                               GiveUpHook(&Impl::OnRequestGivenUp));
      output_account_.emplace(*hooks_.buffers_, policy::BufferUse::kOutput,
                              GiveUpHook(&Impl::OnOutputGivenUp));
    }
    AwaitRequest();
  }

  void CloseIfIdle() {
    if (!awaiting_request_ || buffer_.size() > 0 || HasUnread()) {
      return;
    }
    SettleConfirmed();
    if (unsettled_.empty()) {
      Close();
    } else {
      Linger();
    }
  }

  void RejectUnread() { RejectIfReading("the process is stopping"); }

  void Inspect() {
    if (closed_) {
      return;
    }
    CountRequest(RequestSize() + UnreadBehind());
    if (!std::exchange(has_begun_watch_, true)) {
      watch_.Begin(socket_);
    }
    if (has_output_) {
      InspectOutput();
    }
    if (!closed_ && over_high_water_ && HasSpareMemory()) {
      ResumeSource();
    }
  }

  void CutOff() {
    loss_ = kProcessEnds;
    Close();
  }

  std::optional<policy::WaitingSession> Waiting() const {
    using policy::SessionWait;
    if (closed_ || (in_call_ && !(responded_ && writing_)) ||
        (awaiting_request_ && HasUnread())) {
      return {};
    }
    const SessionWait wait = in_call_            ? SessionWait::kReadResponse
                             : awaiting_request_ ? SessionWait::kRequest
                                                 : SessionWait::kRestOfRequest;
    return policy::WaitingSession{wait, waits_since_};
  }

  void GiveWay() {
    const auto waiting = Waiting();
    if (!waiting.has_value()) {
      return;
    }
    if (waiting->wait_ == policy::SessionWait::kRestOfRequest &&
        parser_.has_value() && !refused_ && !writing_) {
      refused_ = true;
      SendRefusalAtOnce();
    }
    if (hooks_.on_gave_way_) {
      hooks_.on_gave_way_(waiting->wait_);
    }
    resets_on_close_ = in_call_;
    loss_ = kGaveWay;
    Close();
  }

  // Methods of Responder for the request in progress.
  void Reply(int status, HeaderList headers, std::string body) {
    if (closed_) {
      return;
    }
    SetResponded();
    // A response to HEAD ends with its head.
    if (is_head_request_) {
      body.clear();
    }
    http::response_header<> head;
    FillHead(&head, status, headers);
    head.set(http::field::content_length, std::to_string(body.size()));
    AppendHead(std::move(head));
    pending_body_ = std::move(body);
    CountOutput(pending_output_.size() + pending_body_.size());
    Flush();
  }

  void BeginStream(int status, const HeaderList& headers) {
    if (closed_) {
      return;
    }
    http::response_header<> head;
    FillHead(&head, status, headers);
    chunked_ = version_ == 11 && !is_head_request_;
    if (chunked_) {
      head.set(http::field::transfer_encoding, "chunked");
    } else if (!is_head_request_) {
      keeps_open_ = false;
      head.set(http::field::connection, "close");
    }
    AppendHead(std::move(head));
    Flush();
  }

  bool Write(const std::string& bytes) {
    if (closed_) {
      return true;
    }
    if (!bytes.empty() && !is_head_request_) {
      AppendChunk(bytes);
      Flush();
    }
    CountOutput(write_buffer_.size() + pending_output_.size());
    over_high_water_ =
        pending_output_.size() > kWriteHighWater && !HasSpareMemory();
    return !over_high_water_;
  }

  void EndStream() {
    if (closed_) {
      return;
    }
    SetResponded();
    if (chunked_) {
      pending_output_ += "0\r\n\r\n";
    }
    Flush();
    // Without a last chunk, everything may have been written already.
    if (!writing_) {
      boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->OnResponseWritten({});
      });
    }
  }

  void Abort() { Close(); }

  bool MayHaveLeft() {
    if (closed_) {
      return true;
    }
    const ssize_t received = input_ended_ ? 1 : Peek();
    if (received == 0) {
      OnInputEnded();
    }
    // The next check for a reset may be late for a request that is sent now.
    if ((received < 0 && !WouldBlock()) || PollFor(0)) {
      DisconnectSoon();
      return true;
    }
    return input_ended_ && !is_still_reading_ && CanProbe();
  }

 private:
  class CallResponder;

  // A response that was written.
  struct UnsettledResponse {
    uint64_t end_ = 0;  // how many bytes the system has taken with it
    std::function<void(const char* loss)> on_settled_;
  };

  // @return a hook that acts later, as accounts must not change in it.
  std::function<void()> GiveUpHook(void (Impl::*act)()) {
    return [weak = weak_from_this(), act] {
      if (const auto self = weak.lock()) {
        boost::asio::post(self->socket_.get_executor(),
                          [self, act] { (*self.*act)(); });
      }
    };
  }

  void OnRequestGivenUp() {
    if (closed_ || refused_) {
      return;
    }
    if (parser_.has_value() && fields_size_ > kMaxLingeringFields) {
      // The parser keeps the fields as long as the connection is read.
      refused_ = true;
      hooks_.on_refused_(kStatusUnavailable, kNoMemory);
      SendRefusalAtOnce();
      Close();
    } else if (parser_.has_value()) {
      RejectIfReading(kNoMemory);
    } else if (RequestSize() + UnreadBehind() > 0) {
      // The caller sent further requests, which nothing reads meanwhile.
      resets_on_close_ = true;
      HandleDisconnect();
    }
  }

  // The response is complete, but perhaps not written.
  void SetResponded() {
    responded_ = true;
    waits_since_ = boot_.Now();
    on_settled_ = std::move(caller_hooks_.on_settled_);
    unread_deadline_ = std::max(
        deadline_.value_or(waits_since_ + hooks_.limits_().idle_timeout_),
        waits_since_ + kMinTimeToRead);
  }

  // Finds out what the caller has confirmed, and ends the connection if it
  // never will confirm the rest.
  void InspectOutput() {
    const Millis now = boot_.Now();
    const bool is_lost = watch_.Check(socket_, now);
    if (writing_) {
      CountOutput(output_size_, watch_.unconfirmed());
    }
    SettleConfirmed(watch_.unconfirmed());
    has_output_ = writing_ || watch_.unconfirmed() > 0;
    const bool is_unread = !unsettled_.empty() || (responded_ && writing_);
    if (is_lost) {
      EndUnread(kSilentCaller);
    } else if (is_unread && now > unread_deadline_ &&
               now - confirmed_at_ >= policy::kMinUnreadTime) {
      EndUnread(kUnreadTooLong);
    }
  }

  void EndUnread(const char* loss) {
    loss_ = loss;
    resets_on_close_ = true;
    HandleDisconnect();
  }

  // @param unconfirmed what the system holds for the caller.
  void SettleConfirmed(size_t unconfirmed) {
    const uint64_t written = written_ + written_part_;
    const uint64_t confirmed =
        written - std::min(written, uint64_t{unconfirmed});
    if (confirmed > confirmed_) {
      confirmed_ = confirmed;
      confirmed_at_ = boot_.Now();
    }
    while (!unsettled_.empty() && unsettled_.front().end_ <= confirmed_) {
      Settle(nullptr);
    }
  }

  void SettleConfirmed() {
    if (!unsettled_.empty()) {
      SettleConfirmed(UnconfirmedOutput(socket_));
    }
  }

  // Reports the outcome of the oldest response.
  void Settle(const char* loss) {
    const auto on_settled = std::move(unsettled_.front().on_settled_);
    unsettled_.pop_front();
    if (on_settled) {
      on_settled(loss);
    }
  }

  // The connection is about to be closed.
  void SettleAll() {
    SettleConfirmed();
    // Unless it is broken, the system still delivers what it holds.
    const bool is_lost =
        !unsettled_.empty() && (resets_on_close_ || IsBroken());
    while (!unsettled_.empty()) {
      Settle(is_lost ? loss_ : nullptr);
    }
    if (responded_ && on_settled_) {
      // It was not written as a whole.
      const auto on_settled = std::move(on_settled_);
      on_settled_ = nullptr;
      on_settled(loss_);
    }
  }

  bool HasSpareMemory() const {
    return hooks_.buffers_ != nullptr && hooks_.buffers_->HasSpare();
  }

  void ResumeSource() {
    over_high_water_ = false;
    if (caller_hooks_.on_writable_) {
      const auto on_writable = caller_hooks_.on_writable_;
      on_writable();
    }
  }

  // @return what the session itself holds of requests.
  size_t RequestSize() const {
    const bool has_body = parser_.has_value() && !refused_;
    return buffer_.capacity() + fields_size_ +
           (has_body ? parser_->get().body().size() : 0);
  }

  // @return the bytes behind the request in progress that nothing reads yet.
  size_t UnreadBehind() const {
    return !closed_ && (in_call_ || writing_) ? UnreadInput(socket_) : 0;
  }

  // Returns the memory of a buffer that holds nothing.
  void ReleaseInputBuffer() {
    if (buffer_.size() == 0) {
      buffer_.shrink_to_fit();
    }
  }

  void SendRefusalAtOnce() {
    constexpr std::string_view kRefusal =
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.1\r\n"
        "Content-Length: 0\r\nConnection: close\r\n\r\n";
    // The connection ends next, whether or not there was room for it.
    static_cast<void>(send(socket_.native_handle(), kRefusal.data(),
                           kRefusal.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
  }

  // Rejects a request that has not been read as a whole.
  void RejectIfReading(const char* reason) {
    if (parser_.has_value() && !closed_ && !refused_) {
      Refuse(kStatusUnavailable, reason);
    }
  }

  // Disconnects the caller, unless it has read everything meanwhile.
  void OnOutputGivenUp() {
    if (output_size_ > 0) {
      EndUnread(kNoMemoryForOutput);
    }
  }

  // @param unconfirmed bytes of it that the system's buffer holds.
  void CountOutput(size_t size, size_t unconfirmed = 0) {
    output_size_ = size;
    if (output_account_.has_value()) {
      output_account_->SetSize(size + unconfirmed);
    }
  }

  void CountRequest(size_t size) {
    if (request_account_.has_value()) {
      request_account_->SetSize(size);
    }
  }

  void FillHead(http::response_header<>* head,
                int status,
                const HeaderList& headers) {
    head_sent_ = true;
    head->version(11);
    head->result(static_cast<unsigned>(status));
    for (const auto& [name, value] : headers.all()) {
      head->insert(name, value);
    }
    keeps_open_ = keeps_open_ && !hooks_.stopping_();
    if (!keeps_open_) {
      head->set(http::field::connection, "close");
    } else {
      const int64_t seconds =
          hooks_.limits_().idle_timeout_.count() / kMillisPerSecond;
      announced_idle_ = Millis(seconds * kMillisPerSecond);
      head->set(http::field::keep_alive, "timeout=" + std::to_string(seconds));
    }
  }

  // Appends the head, but for the part of it that was written as probes.
  void AppendHead(http::response_header<> head) {
    http::response<http::empty_body> message(std::move(head));
    http::response_serializer<http::empty_body> serializer(message);
    serializer.split(true);
    std::string bytes;
    error_code error;
    serializer.next(error, [&bytes, &serializer](error_code& /*error*/,
                                                 const auto& buffers) {
      bytes += boost::beast::buffers_to_string(buffers);
      serializer.consume(boost::asio::buffer_size(buffers));
    });
    pending_output_.append(bytes, head_probes_, std::string::npos);
  }

  void AppendChunk(const std::string& bytes) {
    leading_zeros_ = 0;
    if (!chunked_) {
      pending_output_ += bytes;
      return;
    }
    std::array<char, 20> size{};
    const int digits =
        std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    pending_output_.append(size.data(), static_cast<size_t>(digits));
    pending_output_ += bytes;
    pending_output_ += "\r\n";
  }

  void Flush() {
    if (writing_ || pending_output_.empty()) {
      return;
    }
    writing_ = true;
    write_buffer_.swap(pending_output_);
    pending_output_.clear();
    write_body_.swap(pending_body_);
    CountOutput(write_buffer_.size() + write_body_.size());
    const std::array<boost::asio::const_buffer, 2> buffers = {
        boost::asio::buffer(write_buffer_), boost::asio::buffer(write_body_)};
    written_part_ = 0;
    progress_ = 0;
    has_output_ = true;
    boost::asio::async_write(
        socket_, buffers,
        // Called after each part; continues until all is written.
        [self = shared_from_this()](const error_code& error, size_t written) {
          self->OnPartWritten(written);
          return boost::asio::transfer_all()(error, written);
        },
        [self = shared_from_this()](const error_code& error, size_t written) {
          self->OnFlushed(error, written);
        });
  }

  void OnPartWritten(size_t written) {
    written_part_ = written;
    if (written >= progress_ + kMinReadBytes) {
      progress_ = written;
      waits_since_ = boot_.Now();
    }
  }

  void OnFlushed(const error_code& error, size_t written) {
    writing_ = false;
    written_ += written;
    written_part_ = 0;
    ReleaseBuffer(&write_buffer_);
    std::string().swap(write_body_);
    CountOutput(pending_output_.size() + pending_body_.size());
    if (closed_) {
      return;
    }
    if (error) {
      is_broken_ = true;
      HandleDisconnect();
      return;
    }
    if (!pending_output_.empty()) {
      Flush();
      return;
    }
    if (responded_) {
      OnResponseWritten({});
    } else if (over_high_water_) {
      ResumeSource();
    }
  }

  // Waits for the first byte of a request.
  void AwaitRequest() {
    awaiting_request_ = true;
    waits_since_ = boot_.Now();
    ReleaseInputBuffer();
    CountRequest(RequestSize());
    responded_ = false;
    head_sent_ = false;
    input_ended_ = false;
    is_still_reading_ = false;
    head_probes_ = 0;
    leading_zeros_ = 0;
    has_probed_ = false;
    in_call_ = false;
    deadline_.reset();
    caller_hooks_ = CallerHooks();
    const Millis idle_timeout =
        std::max(hooks_.limits_().idle_timeout_, announced_idle_ + kIdleMargin);
    StartTimer(idle_timeout, [](Impl& self) { self.CloseIfIdle(); });
    if (buffer_.size() > 0) {
      ReadHead();
      return;
    }
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& error) {
                         if (self->closed_ || !self->awaiting_request_) {
                           return;
                         }
                         if (error) {
                           self->CloseBroken();
                         } else {
                           self->ReadHead();
                         }
                       });
  }

  void ReadHead() {
    const SessionLimits limits = hooks_.limits_();
    awaiting_request_ = false;
    waits_since_ = boot_.Now();
    parser_.emplace();
    parser_->header_limit(static_cast<uint32_t>(
        std::min(limits.max_header_.count(), int64_t{kMaxHeaderField})));
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
      OnReadFailed(error);
      return;
    }
    const auto& message = parser_->get();
    version_ = static_cast<int>(message.version());
    fields_size_ = MemorySize(message.base());
    CountRequest(RequestSize());
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
      pending_output_ += kInterimResponse;
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
            self->OnReadFailed(error);
          } else {
            if (self->hooks_.drops_bodies_) {
              self->parser_->get().body().clear();
            }
            self->CountRequest(self->RequestSize());
            self->ReadBody();
          }
        });
  }

  // A caller that disconnected gets no response; any other failure is a
  // malformed request.
  void OnReadFailed(const error_code& error) {
    if (error == http::error::end_of_stream ||
        error == http::error::partial_message) {
      CloseOnceConfirmed();
    } else if (error.category() !=
               make_error_code(http::error::end_of_stream).category()) {
      CloseBroken();
    } else {
      Refuse(StatusForError(error), error.message());
    }
  }

  void Refuse(int status, const std::string& reason) {
    refused_ = true;
    keeps_open_ = false;
    // The parser itself may still be in use by a read.
    if (parser_.has_value()) {
      std::string().swap(parser_->get().body());
    }
    fields_size_ = 0;
    CountRequest(0);
    hooks_.on_refused_(status, reason);
    HeaderList headers;
    headers.Add("Content-Type", "text/plain");
    if (status == kStatusUnavailable) {
      headers.Add("Retry-After", kRetryAfter);
    }
    Reply(status, headers, reason + "\n");
  }

  void OnCall();

  void WatchForDisconnect() {
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& error) {
                         if (!error) {
                           self->OnReadableInCall();
                         }
                       });
  }

  // The caller either disconnected or pipelined its next request, which stays
  // in the kernel's buffer until this one has ended.
  void OnReadableInCall() {
    if (closed_ || !in_call_ || responded_) {
      return;
    }
    const ssize_t received = Peek();
    if (received > 0) {
      WatchBehindInput();
    } else if (received == 0) {
      OnInputEnded();
    } else if (WouldBlock()) {
      WatchForDisconnect();
    } else {
      HandleDisconnect();
    }
  }

  // Input that stays unread hides the end of the input from
  // WatchForDisconnect().
  void WatchBehindInput() {
    StartTimer(kResetCheckInterval, [](Impl& self) {
      if (!self.in_call_ || self.responded_) {
        return;
      }
      if (self.PollFor(POLLRDHUP)) {
        self.OnInputEnded();
      } else {
        self.WatchBehindInput();
      }
    });
  }

  static bool WouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

  ssize_t Peek() {
    char byte = 0;
    return recv(socket_.native_handle(), &byte, sizeof(byte),
                MSG_PEEK | MSG_DONTWAIT);
  }

  // The caller's input has ended behind its request: it closed the connection,
  // or only its sending side.
  void OnInputEnded() {
    if (input_ended_) {
      return;
    }
    input_ended_ = true;
    // The next request may have arrived already.
    keeps_open_ = keeps_open_ && (buffer_.size() > 0 || HasUnread());
    probe_interval_ = kResetCheckInterval;
    next_probe_in_ = probe_interval_;
    Probe();
    StartTimer(kResetCheckTime, [](Impl& self) { self.CheckForReset(); });
  }

  void DisconnectSoon() {
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
      if (!self->closed_) {
        self->HandleDisconnect();
      }
    });
  }

  // Call some time after a write.
  void CheckForReset() {
    if (!in_call_ || responded_) {
      return;
    }
    if (PollFor(0)) {
      HandleDisconnect();
      return;
    }
    // Until the caller's system has confirmed what was sent, its reset may
    // still be on the way.
    is_still_reading_ = is_still_reading_ || (has_probed_ && !HasUnconfirmed());
    if (!has_probed_ && CanProbe()) {
      Probe();
    }
    if (!is_still_reading_ && !head_sent_) {
      StartTimer(kResetCheckTime, [](Impl& self) { self.CheckForReset(); });
      return;
    }
    // The bytes are few, so the interval grows with the time that has passed.
    next_probe_in_ -= kResetCheckInterval;
    const bool is_due = next_probe_in_ <= Millis(0);
    if (is_due) {
      Probe();
      probe_interval_ = probe_interval_ * 2;
      next_probe_in_ = probe_interval_;
    }
    StartTimer(is_due ? kResetCheckTime : kResetCheckInterval,
               [](Impl& self) { self.CheckForReset(); });
  }

  bool HasUnconfirmed() { return UnconfirmedOutput(socket_) > 0; }

  // @return whether the connection is broken or has one of the events.
  bool PollFor(short events) {
    pollfd state{socket_.native_handle(), events, 0};
    return poll(&state, 1, 0) > 0 &&
           (state.revents & (events | POLLERR | POLLHUP | POLLNVAL)) != 0;
  }

  // @return whether the caller or the system has reset the connection.
  bool IsBroken() {
    pollfd state{socket_.native_handle(), 0, 0};
    is_broken_ = is_broken_ ||
                 (poll(&state, 1, 0) > 0 && (state.revents & POLLERR) != 0);
    return is_broken_;
  }

  // A read or write has failed, which the system tells only once.
  void CloseBroken() {
    is_broken_ = true;
    Close();
  }

  // @return whether bytes that belong to the response can be written early.
  bool CanProbe() const { return !head_sent_ || chunked_; }

  // Writes a byte of the response to find out whether the caller still reads.
  void Probe() {
    if (writing_ || !pending_output_.empty()) {
      // The end of the input confirmed all that had come before it.
      has_probed_ = has_probed_ || HasUnconfirmed();
      return;
    }
    if (!head_sent_ && head_probes_ < kStatusLineStart.size()) {
      head_probes_ += SendProbe(kStatusLineStart[head_probes_]);
    } else if (head_sent_ && chunked_ && leading_zeros_ < kMaxLeadingZeros) {
      leading_zeros_ += SendProbe('0');
    }
  }

  // @return the number of bytes that were sent.
  size_t SendProbe(char byte) {
    const ssize_t sent = send(socket_.native_handle(), &byte, sizeof(byte),
                              MSG_DONTWAIT | MSG_NOSIGNAL);
    // Without room for it, what is on the way already shows a close.
    has_probed_ = has_probed_ || sent == 1 || (sent < 0 && WouldBlock());
    if (sent == 1) {
      ++written_;
      has_output_ = true;
    }
    if (sent < 0 && !WouldBlock()) {
      DisconnectSoon();
    }
    return sent == 1 ? 1 : 0;
  }

  // The caller disconnected while its request was in progress.
  void HandleDisconnect() {
    const auto on_disconnect = caller_hooks_.on_disconnect_;
    Close();
    if (on_disconnect) {
      on_disconnect();
    }
  }

  void OnResponseWritten(const error_code& error) {
    CountOutput(0);
    if (closed_) {
      return;
    }
    if (error) {
      CloseBroken();
      return;
    }
    unsettled_.push_back({written_, std::move(on_settled_)});
    on_settled_ = nullptr;
    if (!keeps_open_) {
      Linger();
    } else {
      AwaitRequest();
    }
  }

  // Closes the connection after the caller has had time to read the response.
  void Linger() {
    in_call_ = false;
    awaiting_request_ = false;
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    // The system counts the end of the output as a byte.
    ++written_;
    has_output_ = true;
    StartTimer(kLingerTime, [](Impl& self) { self.CloseOnceConfirmed(); });
    DiscardInput();
  }

  // Closes the connection once the caller has confirmed all responses. Until
  // then Inspect() watches it.
  void CloseOnceConfirmed() {
    in_call_ = false;
    awaiting_request_ = false;
    SettleConfirmed();
    if (unsettled_.empty() || IsBroken()) {
      Close();
    } else {
      StartTimer(kConfirmationCheckInterval,
                 [](Impl& self) { self.CloseOnceConfirmed(); });
    }
  }

  void DiscardInput() {
    discard_buffer_.resize(4096);
    socket_.async_read_some(
        boost::asio::buffer(discard_buffer_),
        [self = shared_from_this()](const error_code& error, size_t bytes) {
          if (self->closed_) {
            return;
          }
          self->discarded_bytes_ += bytes;
          if (error == boost::asio::error::eof) {
            self->CloseOnceConfirmed();
          } else if (error) {
            self->CloseBroken();
          } else if (self->discarded_bytes_ > kMaxLingerBytes) {
            self->Close();
          } else {
            self->DiscardInput();
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

  // Rejects the request if reading it takes too long.
  void StartReadTimer(Millis after, const char* reason) {
    timer_.StartDeadlineTimer(after, [self = shared_from_this(), reason] {
      if (self->closed_) {
        return;
      }
      // The caller is not late if bytes that it sent are still unread.
      if (self->HasUnread()) {
        self->StartReadTimer(OneShotTimer::kReadGrace, reason);
      } else {
        self->Refuse(kStatusTimeout, reason);
      }
    });
  }

  bool HasUnread() const { return UnreadInput(socket_) > 0; }

  void Close() {
    if (closed_) {
      return;
    }
    SettleAll();
    closed_ = true;
    caller_hooks_ = CallerHooks();
    request_account_.reset();
    output_account_.reset();
    timer_.Cancel();
    error_code ignored;
    // Without chunks, the end of the connection would complete the response.
    // A reset also discards what the system holds for a caller that doesn't
    // read.
    if (resets_on_close_ || (in_call_ && head_sent_ && !chunked_)) {
      socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    socket_.close(ignored);
    hooks_.on_closed_();
  }

  tcp::socket socket_;
  OneShotTimer timer_;
  const SessionHooks hooks_;
  const Clock boot_ = Clock::Boot();
  std::optional<policy::BufferBudget::Account> request_account_;
  std::optional<policy::BufferBudget::Account> output_account_;
  // Bounds what precedes and follows a body, too.
  boost::beast::flat_buffer buffer_{kMaxHeaderField};
  std::optional<http::request_parser<http::string_body>> parser_;
  CallerHooks caller_hooks_;
  std::string pending_output_;
  std::string pending_body_;  // follows pending_output_ and ends the response
  std::string write_buffer_;
  std::string write_body_;
  std::vector<char> discard_buffer_;
  size_t discarded_bytes_ = 0;
  size_t output_size_ = 0;  // not written yet
  size_t progress_ = 0;     // of the write in progress, at waits_since_
  size_t fields_size_ = 0;  // memory of the head of the request
  Millis waits_since_;      // as Waiting() tells
  int version_ = 11;
  bool awaiting_request_ = false;
  bool in_call_ = false;
  bool is_head_request_ = false;
  bool keeps_open_ = true;
  Millis announced_idle_;  // in the latest head; zero if there was none
  bool chunked_ = false;
  bool writing_ = false;
  bool head_sent_ = false;
  bool input_ended_ = false;       // behind the request in progress
  bool is_still_reading_ = false;  // although its input has ended
  bool has_probed_ = false;        // since its input has ended
  size_t head_probes_ = 0;         // bytes of the status line sent as probes
  size_t leading_zeros_ = 0;       // of the next chunk, sent as probes
  Millis probe_interval_;
  Millis next_probe_in_;
  bool responded_ = false;
  bool refused_ = false;
  bool closed_ = false;
  bool over_high_water_ = false;
  bool resets_on_close_ = false;
  bool is_broken_ = false;  // as a failed read or write told
  const char* loss_ = kBrokenConnection;
  PeerWatch watch_;
  bool has_begun_watch_ = false;
  bool has_output_ = false;  // that the caller may not have confirmed
  // Bytes that the system has taken, and of the write in progress.
  uint64_t written_ = 0;
  size_t written_part_ = 0;
  // What the caller has confirmed of them, and when that last grew.
  uint64_t confirmed_ = 0;
  Millis confirmed_at_;
  std::optional<Millis> deadline_;  // of the request in progress
  Millis unread_deadline_;          // of the latest response
  // Of the latest response, until it is written.
  std::function<void(const char* loss)> on_settled_;
  // Written responses that the caller has not confirmed, in their order.
  std::deque<UnsettledResponse> unsettled_;
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
  bool MayHaveLeft() override { return session_->MayHaveLeft(); }

 private:
  const std::shared_ptr<Impl> session_;
};

void CallerSession::Impl::OnCall() {
  timer_.Cancel();
  IncomingRequest call;
  {
    auto message = parser_->release();
    keeps_open_ = message.keep_alive();
    call.method_ = std::string(message.method_string());
    call.target_ = std::string(message.target());
    call.host_ = std::string(message[http::field::host]);
    call.headers_ = EndToEndHeaders(message.base());
    call.body_ = std::move(message.body());
  }
  parser_.reset();
  fields_size_ = 0;
  ReleaseInputBuffer();
  CountRequest(RequestSize());
  is_head_request_ = call.method_ == "HEAD";
  in_call_ = true;
  WatchForDisconnect();
  const Millis arrived = boot_.Now();
  CallerHooks caller = hooks_.on_request_(
      std::move(call), std::make_shared<CallResponder>(shared_from_this()));
  if (caller.time_limit_ > Millis(0)) {
    deadline_ = arrived + caller.time_limit_;
  }
  // The response may already be written.
  if (in_call_ && !responded_ && !closed_) {
    caller_hooks_ = std::move(caller);
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

void CallerSession::RejectUnread() {
  impl_->RejectUnread();
}

void CallerSession::CloseIfIdle() {
  impl_->CloseIfIdle();
}

void CallerSession::Inspect() {
  impl_->Inspect();
}

void CallerSession::CutOff() {
  impl_->CutOff();
}

std::optional<policy::WaitingSession> CallerSession::Waiting() const {
  return impl_->Waiting();
}

void CallerSession::GiveWay() {
  impl_->GiveWay();
}

}  // namespace bergamotscale::web
