// Finds the whole events in a stream of them.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_EVENT_SPLITTER_H_
#define BERGAMOTSCALE_SRC_GATEWAY_EVENT_SPLITTER_H_

#include <string>
#include <string_view>

namespace bergamotscale::gateway {

// Splits text/event-stream bytes at the ends of events without changing them,
// and keeps the id of the last whole event.
// Thread safety: none.
class EventSplitter {
 public:
  // @return the bytes up to the end of the last whole event; the rest is kept.
  std::string Take(std::string_view bytes);

  // @return the bytes behind the last whole event, which are dropped here.
  std::string TakeRest();

  // @return the id of the last whole event that had one; may be empty.
  const std::string& last_id() const { return last_id_; }
  void set_last_id(std::string id) { last_id_ = std::move(id); }

 private:
  std::string rest_;
  std::string last_id_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_EVENT_SPLITTER_H_
