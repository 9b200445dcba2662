// What a stream's handles and its connection share.
#ifndef BERGAMOTSCALE_SRC_LINK_STREAM_STATE_H_
#define BERGAMOTSCALE_SRC_LINK_STREAM_STATE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "src/link/frame_assembler.h"
#include "src/link/link.h"

namespace bergamotscale::link {

class Connection;

// Bytes queued on one stream, its incomplete frame, and its hooks. A hook may
// end the stream, so hooks are only let go once none of them runs.
// Thread safety: use on the io_context's thread only.
struct Stream::State : std::enable_shared_from_this<Stream::State> {
  State(std::weak_ptr<Connection> connection, Bytes max_frame);

  // Puts the hooks in place. If the stream was lost or reset by the peer
  // before, on_end_ is called at once.
  void Attach(StreamHooks hooks);

  // Queues a frame. @return whether it was taken.
  bool Queue(std::string_view frame);
  // Moves up to size queued bytes to target. @return their count.
  size_t TakeOutput(uint8_t* target, size_t size);
  size_t queued_bytes() const { return output_.size() - output_taken_; }

  // Feeds received bytes, which calls on_message_.
  Status Receive(std::string_view bytes);
  // Calls on_end_ if it was not called. Unless the end is kFinished, this side
  // is closed too. A stream that finishes inside a frame counts as reset.
  void End(StreamEnd end);
  // Closes both sides without a call.
  void CloseSilently();

  // @return whether nothing can be sent or received any more.
  bool closed() const { return closed_; }
  bool finishing() const { return finishing_; }
  void set_finishing() { finishing_ = true; }

  std::weak_ptr<Connection> connection_;
  int32_t id_ = 0;

 private:
  bool Deliver(std::string_view frame);
  void DropHooks();
  void CompactOutput();

  StreamHooks hooks_;
  FrameAssembler assembler_;
  std::string output_;
  size_t output_taken_ = 0;
  int running_hooks_ = 0;
  bool attached_ = false;
  bool finishing_ = false;
  bool ended_ = false;   // on_end_ was called or must not be
  bool silent_ = false;  // closed by CloseSilently()
  bool closed_ = false;
  StreamEnd end_ = StreamEnd::kLost;
};

}  // namespace bergamotscale::link

#endif  // BERGAMOTSCALE_SRC_LINK_STREAM_STATE_H_
