// Splits a stream of server-sent events into whole events.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_EVENT_SPLITTER_H_
#define BERGAMOTSCALE_SRC_GATEWAY_EVENT_SPLITTER_H_

#include <string>
#include <string_view>

namespace bergamotscale::gateway {

// Splits text/event-stream bytes at event boundaries without changing them, and
// records the id of the last whole event. Thread safety: none.
class EventSplitter {
 public:
  // @return the bytes up to the end of the last whole event; later bytes are
  // kept for the next call.
  std::string ExtractEvents(std::string_view bytes);

  // Removes the bytes after the last whole event.
  // @return the removed bytes.
  std::string ExtractRemainder();

  // @return the size of the bytes after the last whole event.
  size_t remainder_size() const { return partial_event_.size(); }

  // @return the id of the last whole event that had one; may be empty.
  const std::string& last_id() const { return last_id_; }
  void set_last_id(std::string id) { last_id_ = std::move(id); }

 private:
  std::string partial_event_;
  std::string last_id_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_EVENT_SPLITTER_H_
