// Splits a stream of server-sent events into the data of each event.
#ifndef BERGAMOTSCALE_SRC_SIDECAR_EVENT_READER_H_
#define BERGAMOTSCALE_SRC_SIDECAR_EVENT_READER_H_

#include <functional>
#include <string>
#include <string_view>

#include "bergamotscale/result.h"
#include "bergamotscale/units.h"

namespace bergamotscale::sidecar {

// Parses server-sent events from input in pieces of any size.
// Thread safety: use from one thread.
class EventReader {
 public:
  using EventHook = std::function<void(const std::string& data)>;

  // @param max_event upper bound of an event's size.
  // @param on_event called for each complete event during Feed().
  EventReader(Bytes max_event, EventHook on_event);

  // @return kProtocolError if an event exceeds the bound.
  Status Feed(std::string_view piece);

 private:
  void ParseLine(std::string_view line);

  Bytes max_event_;
  EventHook on_event_;
  std::string line_;
  std::string data_;
};

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_EVENT_READER_H_
