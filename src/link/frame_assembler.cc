#include "src/link/frame_assembler.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace bergamotscale::link {
namespace {

constexpr int kBitsPerByte = 8;
constexpr unsigned kByteMask = 0xff;
// A larger buffer is freed once its frame was delivered.
constexpr size_t kMaxReusedBufferBytes = size_t{64} * 1024;

size_t ReadLength(std::string_view header) {
  uint32_t length = 0;
  for (size_t i = 0; i < kFrameHeaderBytes; ++i) {
    length = (length << kBitsPerByte) | static_cast<unsigned char>(header[i]);
  }
  return length;
}

}  // namespace

void AppendFrame(std::string_view frame, std::string* buffer) {
  const auto length = static_cast<uint32_t>(frame.size());
  for (int shift = 24; shift >= 0; shift -= kBitsPerByte) {
    buffer->push_back(static_cast<char>((length >> shift) & kByteMask));
  }
  buffer->append(frame);
}

FrameAssembler::FrameAssembler(Bytes max_frame)
    : max_frame_(static_cast<size_t>(max_frame.count())) {}

Status FrameAssembler::Feed(std::string_view bytes, const FrameHook& hook) {
  while (!bytes.empty() && !stopped_by_hook_) {
    if (!partial_.empty() || bytes.size() < kFrameHeaderBytes) {
      Status fed = FeedPartial(&bytes, hook);
      if (!fed.ok()) {
        return fed;
      }
      continue;
    }
    const size_t length = ReadLength(bytes);
    Status checked = CheckLength(length);
    if (!checked.ok()) {
      return checked;
    }
    if (bytes.size() - kFrameHeaderBytes < length) {
      partial_.assign(bytes);
      return Done{};
    }
    const std::string_view frame = bytes.substr(kFrameHeaderBytes, length);
    bytes.remove_prefix(kFrameHeaderBytes + length);
    stopped_by_hook_ = !hook(frame);
  }
  return Done{};
}

Status FrameAssembler::FeedPartial(std::string_view* bytes,
                                   const FrameHook& hook) {
  size_t expected_size = kFrameHeaderBytes;
  if (partial_.size() >= kFrameHeaderBytes) {
    expected_size += ReadLength(partial_);
  }
  const size_t taken = std::min(expected_size - partial_.size(), bytes->size());
  partial_.append(bytes->substr(0, taken));
  bytes->remove_prefix(taken);
  if (partial_.size() < kFrameHeaderBytes) {
    return Done{};
  }
  const size_t length = ReadLength(partial_);
  Status checked = CheckLength(length);
  if (checked.ok() && partial_.size() == kFrameHeaderBytes + length) {
    stopped_by_hook_ = !CallWithPartial(hook);
  }
  return checked;
}

bool FrameAssembler::CallWithPartial(const FrameHook& hook) {
  std::string whole = std::move(partial_);
  partial_.clear();
  const bool keep_reading =
      hook(std::string_view(whole).substr(kFrameHeaderBytes));
  if (whole.capacity() <= kMaxReusedBufferBytes) {
    whole.clear();
    partial_ = std::move(whole);
  }
  return keep_reading;
}

Status FrameAssembler::CheckLength(size_t length) const {
  if (length > max_frame_) {
    return Error(ErrorCode::kProtocolError,
                 "frame of " + std::to_string(length) +
                     " bytes is longer than the limit");
  }
  return Done{};
}

}  // namespace bergamotscale::link
