// Frames with a length prefix: what a stream's bytes are cut into.
#ifndef BERGAMOTSCALE_SRC_LINK_FRAME_ASSEMBLER_H_
#define BERGAMOTSCALE_SRC_LINK_FRAME_ASSEMBLER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "bergamotscale/result.h"
#include "bergamotscale/units.h"

namespace bergamotscale::link {

// Bytes of the length in front of a frame; big endian.
inline constexpr size_t kFrameHeaderBytes = 4;

// Appends a frame with its length to buffer.
// Precondition: the frame is shorter than 4 GiB.
void AppendFrame(std::string_view frame, std::string* buffer);

// Puts frames together from bytes that arrive in any pieces. Holds at most one
// incomplete frame, and never more bytes of it than have arrived.
// Thread safety: use from one thread.
class FrameAssembler {
 public:
  // Called with a whole frame, valid during the call. @return false to drop
  // the rest of the bytes.
  using FrameHook = std::function<bool(std::string_view frame)>;

  explicit FrameAssembler(Bytes max_frame);

  // Takes bytes and calls the hook for each frame that is complete.
  // @return kProtocolError if a frame is longer than the limit; the assembler
  // must not be fed again then.
  Status Feed(std::string_view bytes, const FrameHook& hook);

  // @return whether no frame is incomplete.
  bool empty() const { return partial_.empty(); }

 private:
  Status FeedPartial(std::string_view* bytes, const FrameHook& hook);
  bool CallWithPartial(const FrameHook& hook);
  Status CheckLength(size_t length) const;

  size_t max_frame_;
  std::string partial_;
  bool stopped_ = false;
};

}  // namespace bergamotscale::link

#endif  // BERGAMOTSCALE_SRC_LINK_FRAME_ASSEMBLER_H_
