// A bounded log that publishes cache events with a delay and with losses.
#ifndef BERGAMOTSCALE_SRC_EMULATOR_CACHE_EVENTS_H_
#define BERGAMOTSCALE_SRC_EMULATOR_CACHE_EVENTS_H_

#include <deque>
#include <random>
#include <vector>

#include "src/emulator/engine_types.h"

namespace bergamotscale::emulator {

// Stores the latest events and publishes each after the configured delay.
// Thread safety: use from one thread at a time.
class CacheEventLog {
 public:
  explicit CacheEventLog(const EngineParameters& parameters);

  // Assigns the next number to an event and stores it. A simulated loss leaves
  // a gap in the numbers.
  void Add(uint64_t hash, bool stored, Micros now);

  // @return the events from that number on that are published by `now`.
  std::vector<CacheEvent> GetPublished(int64_t number, Micros now) const;

 private:
  Micros delay_;
  double loss_;
  std::mt19937_64 rng_;
  int64_t next_number_ = 0;
  std::deque<CacheEvent> events_;
};

}  // namespace bergamotscale::emulator

#endif  // BERGAMOTSCALE_SRC_EMULATOR_CACHE_EVENTS_H_
