// Timestamp of a hybrid logical clock, for ordering events across processes.
#ifndef BERGAMOTSCALE_SRC_CORE_TIMESTAMP_H_
#define BERGAMOTSCALE_SRC_CORE_TIMESTAMP_H_

#include <cstdint>

#include <msgpack.hpp>

namespace bergamotscale {

// Ordered by wall time in milliseconds, then by a counter that separates events
// of the same millisecond. A process advances its clock past each timestamp
// that it receives, so an effect never sorts before its cause. See Timeline.
struct Timestamp {
  int64_t wall_ms_ = 0;
  int64_t counter_ = 0;

  friend bool operator<(const Timestamp& a, const Timestamp& b) {
    return a.wall_ms_ != b.wall_ms_ ? a.wall_ms_ < b.wall_ms_
                                    : a.counter_ < b.counter_;
  }

  MSGPACK_DEFINE(wall_ms_, counter_)
};

}  // namespace bergamotscale

#endif  // BERGAMOTSCALE_SRC_CORE_TIMESTAMP_H_
