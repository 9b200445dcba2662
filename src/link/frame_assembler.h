// Length-prefixed frames in a stream of bytes.
#ifndef BERGAMOTSCALE_SRC_LINK_FRAME_ASSEMBLER_H_
#define BERGAMOTSCALE_SRC_LINK_FRAME_ASSEMBLER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "bergamotscale/result.h"
#include "bergamotscale/units.h"

namespace bergamotscale::link {

// Size of the big-endian length prefix of a frame.
inline constexpr size_t kFrameHeaderBytes = 4;

// Appends a frame with its length prefix to buffer.
// Precondition: the frame is shorter than 4 GiB.
void AppendFrame(std::string_view frame, std::string* buffer);

// Reassembles frames from bytes that arrive in pieces of any size. Buffers at
// most one incomplete frame, and only the bytes that have arrived.
// Thread safety: use from one thread.
class FrameAssembler {
 public:
  // Called with each complete frame, which is valid during the call.
  // @return false to ignore all further bytes.
  using FrameHook = std::function<bool(std::string_view frame)>;

  explicit FrameAssembler(Bytes max_frame);

  // Adds bytes and calls the hook for each complete frame.
  // @return kProtocolError if a frame is longer than the limit; Feed() must
  // not be called again after that.
  Status Feed(std::string_view bytes, const FrameHook& hook);

  // @return whether there is no incomplete frame.
  bool empty() const { return partial_.empty(); }

 private:
  Status FeedPartial(std::string_view* bytes, const FrameHook& hook);
  bool CallWithPartial(const FrameHook& hook);
  Status CheckLength(size_t length) const;

  size_t max_frame_;
  std::string partial_;
  bool stopped_by_hook_ = false;
};

}  // namespace bergamotscale::link

#endif  // BERGAMOTSCALE_SRC_LINK_FRAME_ASSEMBLER_H_
