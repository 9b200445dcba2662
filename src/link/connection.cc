#include "src/link/connection.h"

#include <chrono>
#include <utility>

#include <glog/logging.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "src/link/session.h"

namespace bergamotscale::link {
namespace {

namespace asio = boost::asio;

// Frames are collected up to this size before a write to the socket.
constexpr size_t kWriteBytes = size_t{256} * 1024;
// A client moves to a new connection when its stream ids reach this value.
constexpr int32_t kMaxStreamId = 1 << 30;
// A heartbeat delayed by more than this many intervals means that this process
// was paused. The silence is then no evidence that the peer has failed.
constexpr int kLateIntervals = 3;

}  // namespace

Connection::Connection(Socket socket,
                       Role role,
                       const LinkOptions& options,
                       ConnectionHooks hooks)
    : socket_(std::move(socket)),
      role_(role),
      options_(options),
      hooks_(std::move(hooks)),
      heartbeat_(socket_.get_executor()),
      session_(NewSession(this, role)) {}

Connection::~Connection() {
  nghttp2_session_del(session_);
}

void Connection::Start() {
  AsioError ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  last_received_ = clock_.Now();
  last_heartbeat_ = last_received_;
  StartHeartbeat();
  Read();
  Flush();
}

Result<Stream> Connection::Open(const std::string& path, StreamHooks hooks) {
  if (closed_ || draining_) {
    return Error(ErrorCode::kUpstreamUnreachable);
  }
  const int32_t id = SubmitRequest(session_, path);
  if (id < 0) {
    return Error(ErrorCode::kUpstreamUnreachable, nghttp2_strerror(id));
  }
  auto state =
      std::make_shared<StreamState>(weak_from_this(), options_.max_frame_);
  state->id_ = id;
  state->Attach(std::move(hooks));
  streams_.emplace(id, state);
  ScheduleFlush();
  if (id >= kMaxStreamId) {
    OnGoAway();
  }
  Stream stream;
  stream.state_ = std::move(state);
  return stream;
}

void Connection::Drain() {
  if (closed_ || draining_) {
    return;
  }
  draining_ = true;
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(session_),
                        NGHTTP2_NO_ERROR, nullptr, 0);
  ScheduleFlush();
}

void Connection::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  const auto self = shared_from_this();
  heartbeat_.cancel();
  AsioError ignored;
  socket_.close(ignored);
  const ConnectionHooks hooks = std::exchange(hooks_, ConnectionHooks());
  if (hooks.on_closed_) {
    hooks.on_closed_();
  }
  const auto streams = std::exchange(streams_, {});
  for (const auto& [id, state] : streams) {
    state->End(StreamEnd::kLost);
  }
}

void Connection::ResumeStream(const StreamState& state) {
  if (closed_) {
    return;
  }
  nghttp2_session_resume_data(session_, state.id_);
  ScheduleFlush();
}

void Connection::ResetStream(int32_t id) {
  if (closed_ || streams_.erase(id) == 0) {
    return;
  }
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
  ScheduleFlush();
}

void Connection::OnPath(int32_t id, std::string_view path) {
  if (role_ == Role::kServer && !closed_) {
    paths_[id] = std::string(path);
  }
}

void Connection::OnRequest(int32_t id) {
  const auto found = paths_.find(id);
  if (closed_ || found == paths_.end()) {
    return;
  }
  const std::string path = std::move(found->second);
  paths_.erase(found);
  if (draining_) {
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id,
                              NGHTTP2_REFUSED_STREAM);
    return;
  }
  SubmitResponse(session_, id);
  auto state =
      std::make_shared<StreamState>(weak_from_this(), options_.max_frame_);
  state->id_ = id;
  streams_.emplace(id, state);
  Stream stream;
  stream.state_ = state;
  // Copied, as the hook may close this connection, which releases the hooks.
  const std::shared_ptr<const LinkServer::Accept> accept = hooks_.accept_;
  state->Attach((*accept)(path, std::move(stream)));
}

void Connection::OnData(int32_t id, std::string_view bytes) {
  const auto state = Find(id);
  if (state == nullptr) {
    return;
  }
  const Status received = state->Receive(bytes);
  if (received.ok()) {
    return;
  }
  LOG(WARNING) << "resetting stream " << id << ": "
               << received.error().Message();
  ResetStream(id);
  state->End(StreamEnd::kReset);
}

void Connection::OnPeerFinished(int32_t id) {
  const auto state = Find(id);
  if (state == nullptr) {
    return;
  }
  state->End(StreamEnd::kFinished);
  FinishOrReset(state);
}

void Connection::FinishOrReset(const std::shared_ptr<StreamState>& state) {
  if (state->closed()) {
    ResetStream(state->id_);
  } else if (role_ == Role::kClient) {
    // The end of the response also ends the request.
    state->set_finishing();
    ResumeStream(*state);
  }
}

void Connection::OnStreamClosed(int32_t id) {
  paths_.erase(id);
  const auto state = Find(id);
  if (state == nullptr) {
    return;
  }
  streams_.erase(id);
  state->End(StreamEnd::kReset);
}

void Connection::OnSettings() {
  if (settings_received_ || closed_) {
    return;
  }
  settings_received_ = true;
  const std::function<void()> on_ready = hooks_.on_ready_;
  if (on_ready) {
    on_ready();
  }
}

void Connection::OnGoAway() {
  if (draining_ || closed_) {
    return;
  }
  draining_ = true;
  const std::function<void()> on_draining = hooks_.on_draining_;
  if (on_draining) {
    on_draining();
  }
}

ssize_t Connection::ReadOutput(int32_t id,
                               uint8_t* target,
                               size_t size,
                               uint32_t* flags) {
  const auto state = Find(id);
  if (state == nullptr) {
    return NGHTTP2_ERR_DEFERRED;
  }
  const size_t taken = state->TakeOutput(target, size);
  if (state->finishing() && state->queued_bytes() == 0) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(taken);
  }
  return taken == 0 ? ssize_t{NGHTTP2_ERR_DEFERRED}
                    : static_cast<ssize_t>(taken);
}

std::shared_ptr<Connection::StreamState> Connection::Find(int32_t id) const {
  const auto found = streams_.find(id);
  return found == streams_.end() ? nullptr : found->second;
}

void Connection::StartHeartbeat() {
  heartbeat_.expires_after(
      std::chrono::milliseconds(options_.heartbeat_interval_.count()));
  heartbeat_.async_wait([self = shared_from_this()](AsioError error) {
    if (!error && !self->closed_) {
      self->OnHeartbeat();
    }
  });
}

void Connection::OnHeartbeat() {
  const Millis now = clock_.Now();
  const Millis since_heartbeat = now - last_heartbeat_;
  last_heartbeat_ = now;
  if (since_heartbeat > options_.heartbeat_interval_ * kLateIntervals) {
    last_received_ = now;
  }
  if (now - last_received_ > options_.heartbeat_timeout_) {
    LOG(WARNING) << "closing a connection: nothing received within the "
                    "heartbeat timeout";
    Close();
    return;
  }
  nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
  Flush();
  if (!closed_) {
    StartHeartbeat();
  }
}

void Connection::Read() {
  socket_.async_read_some(
      asio::buffer(input_),
      [self = shared_from_this()](AsioError error, size_t count) {
        if (error) {
          self->Close();
        } else if (!self->closed_) {
          self->OnRead(count);
        }
      });
}

void Connection::OnRead(size_t count) {
  last_received_ = clock_.Now();
  const ssize_t taken =
      nghttp2_session_mem_recv(session_, input_.data(), count);
  if (taken < 0) {
    LOG(WARNING) << "closing a connection, as processing its input failed: "
                 << nghttp2_strerror(static_cast<int>(taken));
    Close();
  }
  Flush();
  if (!closed_) {
    Read();
  }
}

void Connection::ScheduleFlush() {
  if (flush_scheduled_ || writing_ || closed_) {
    return;
  }
  flush_scheduled_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->flush_scheduled_ = false;
    self->Flush();
  });
}

void Connection::Flush() {
  if (writing_ || closed_) {
    return;
  }
  CollectOutput();
  if (closed_) {
    return;
  }
  if (output_.empty()) {
    CloseIfDone();
  } else {
    Write();
  }
}

void Connection::CollectOutput() {
  while (output_.size() < kWriteBytes && !closed_) {
    const uint8_t* data = nullptr;
    const ssize_t count = nghttp2_session_mem_send(session_, &data);
    if (count < 0) {
      LOG(WARNING) << "closing a connection, as preparing its output failed: "
                   << nghttp2_strerror(static_cast<int>(count));
      Close();
    }
    if (count <= 0) {
      return;
    }
    output_.append(reinterpret_cast<const char*>(data),
                   static_cast<size_t>(count));
  }
}

void Connection::Write() {
  writing_ = true;
  asio::async_write(socket_, asio::buffer(output_),
                    [self = shared_from_this()](AsioError error, size_t) {
                      self->writing_ = false;
                      self->output_.clear();
                      if (error) {
                        self->Close();
                      } else {
                        self->Flush();
                      }
                    });
}

void Connection::CloseIfDone() {
  const bool session_done = nghttp2_session_want_read(session_) == 0 &&
                            nghttp2_session_want_write(session_) == 0;
  const bool drained = draining_ && role_ == Role::kClient && streams_.empty();
  if (session_done || drained) {
    Close();
  }
}

}  // namespace bergamotscale::link
