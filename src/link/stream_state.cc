#include "src/link/stream_state.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "src/link/connection.h"

namespace bergamotscale::link {
namespace {

constexpr size_t kCompactBytes = size_t{64} * 1024;

}  // namespace

Stream::State::State(std::weak_ptr<Connection> connection, Bytes max_frame)
    : connection_(std::move(connection)), assembler_(max_frame) {}

void Stream::State::Attach(StreamHooks hooks) {
  hooks_attached_ = true;
  if (!ended_) {
    hooks_ = std::move(hooks);
    return;
  }
  if (!closed_silently_ && hooks.on_end_) {
    hooks.on_end_(end_);
  }
}

bool Stream::State::Queue(std::string_view frame) {
  if (closed_ || finishing_) {
    return false;
  }
  AppendFrame(frame, &output_);
  return true;
}

size_t Stream::State::TakeOutput(uint8_t* target, size_t size) {
  const size_t taken = std::min(size, queued_bytes());
  std::memcpy(target, output_.data() + output_taken_, taken);
  output_taken_ += taken;
  CompactOutput();
  return taken;
}

void Stream::State::CompactOutput() {
  if (output_taken_ == output_.size()) {
    output_.clear();
    output_taken_ = 0;
    if (output_.capacity() > kCompactBytes) {
      output_.shrink_to_fit();
    }
  } else if (output_taken_ >= kCompactBytes &&
             output_taken_ >= output_.size() / 2) {
    output_.erase(0, output_taken_);
    output_taken_ = 0;
  }
}

Status Stream::State::Receive(std::string_view bytes) {
  const auto self = shared_from_this();
  return assembler_.Feed(
      bytes, [this](std::string_view frame) { return Deliver(frame); });
}

bool Stream::State::Deliver(std::string_view frame) {
  if (ended_) {
    return false;
  }
  if (hooks_.on_message_) {
    ++running_hooks_;
    hooks_.on_message_(frame);
    --running_hooks_;
  }
  if (ended_) {
    ReleaseHooks();
  }
  return !ended_;
}

void Stream::State::End(StreamEnd end) {
  const bool truncated = end == StreamEnd::kFinished && !assembler_.empty();
  const StreamEnd reported_end = truncated ? StreamEnd::kReset : end;
  closed_ = closed_ || reported_end != StreamEnd::kFinished;
  if (ended_) {
    return;
  }
  const auto self = shared_from_this();
  ended_ = true;
  end_ = reported_end;
  const std::function<void(StreamEnd)> on_end = std::move(hooks_.on_end_);
  hooks_.on_end_ = nullptr;
  if (on_end) {
    on_end(end_);
  }
  ReleaseHooks();
}

void Stream::State::CloseSilently() {
  const auto self = shared_from_this();
  ended_ = true;
  closed_ = true;
  closed_silently_ = true;
  ReleaseHooks();
}

void Stream::State::ReleaseHooks() {
  if (running_hooks_ == 0) {
    // Objects owned by the hooks may use this stream in their destructors.
    const StreamHooks dropped = std::exchange(hooks_, StreamHooks());
  }
}

void Stream::Send(std::string frame) {
  if (state_ == nullptr || !state_->Queue(frame)) {
    return;
  }
  if (const auto connection = state_->connection_.lock()) {
    connection->ResumeStream(*state_);
  }
}

void Stream::Finish() {
  if (!open()) {
    return;
  }
  state_->set_finishing();
  if (const auto connection = state_->connection_.lock()) {
    connection->ResumeStream(*state_);
  }
}

void Stream::Reset() {
  if (state_ == nullptr) {
    return;
  }
  const auto state = state_;
  state->CloseSilently();
  if (const auto connection = state->connection_.lock()) {
    connection->ResetStream(state->id_);
  }
}

bool Stream::open() const {
  return state_ != nullptr && !state_->closed() && !state_->finishing();
}

Bytes Stream::queued() const {
  return Bytes(
      state_ == nullptr ? 0 : static_cast<int64_t>(state_->queued_bytes()));
}

}  // namespace bergamotscale::link
