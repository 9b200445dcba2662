// State shared by a stream's handles and its connection.
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

// Queued output, an incomplete input frame and the hooks of one stream. As a
// hook may end the stream, hooks are destroyed only when none is running.
// Thread safety: use on the io_context's thread only.
struct Stream::State : std::enable_shared_from_this<Stream::State> {
  State(std::weak_ptr<Connection> connection, Bytes max_frame);

  // Sets the hooks. If the stream was already lost or reset by the peer, calls
  // on_end_ at once.
  void Attach(StreamHooks hooks);

  // Queues a frame. @return false if this side is closed or finishing.
  bool Queue(std::string_view frame);
  // Moves up to size queued bytes to target. @return their count.
  size_t TakeOutput(uint8_t* target, size_t size);
  size_t queued_bytes() const { return output_.size() - output_taken_; }

  // Handles received bytes; calls on_message_ for each complete frame.
  Status Receive(std::string_view bytes);
  // Calls on_end_ if it was not called before. Unless the end is kFinished,
  // this side is closed too. A stream that ends inside a frame counts as reset.
  void End(StreamEnd end);
  // Closes both sides without a call of on_end_.
  void CloseSilently();

  // @return whether nothing can be sent or received any more.
  bool closed() const { return closed_; }
  bool finishing() const { return finishing_; }
  void set_finishing() { finishing_ = true; }

  std::weak_ptr<Connection> connection_;
  int32_t id_ = 0;

 private:
  bool Deliver(std::string_view frame);
  void ReleaseHooks();
  void CompactOutput();

  StreamHooks hooks_;
  FrameAssembler assembler_;
  std::string output_;
  size_t output_taken_ = 0;
  int running_hooks_ = 0;
  bool hooks_attached_ = false;
  bool finishing_ = false;
  bool ended_ = false;            // on_end_ was called or must not be called
  bool closed_silently_ = false;  // closed by CloseSilently()
  bool closed_ = false;
  StreamEnd end_ = StreamEnd::kLost;
};

}  // namespace bergamotscale::link

#endif  // BERGAMOTSCALE_SRC_LINK_STREAM_STATE_H_
