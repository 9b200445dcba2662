// Publication of cache events: late, bounded and with gaps.
#ifndef BERGAMOTSCALE_SRC_EMULATOR_CACHE_EVENTS_H_
#define BERGAMOTSCALE_SRC_EMULATOR_CACHE_EVENTS_H_

#include <deque>
#include <random>
#include <vector>

#include "src/emulator/engine_types.h"

namespace bergamotscale::emulator {

// Thread safety: use from one thread at a time.
class CacheEventLog {
 public:
  explicit CacheEventLog(const EngineParameters& parameters);

  // Numbers an event; it may be lost, which leaves a gap.
  void Add(uint64_t hash, bool stored, Micros now);

  // @return events with at least that number that are published by now.
  std::vector<CacheEvent> From(int64_t number, Micros now) const;

 private:
  Micros delay_;
  double loss_;
  std::mt19937_64 random_;
  int64_t next_number_ = 0;
  std::deque<CacheEvent> events_;
};

}  // namespace bergamotscale::emulator

#endif  // BERGAMOTSCALE_SRC_EMULATOR_CACHE_EVENTS_H_
