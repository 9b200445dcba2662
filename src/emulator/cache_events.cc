#include "src/emulator/cache_events.h"

namespace bergamotscale::emulator {
namespace {

constexpr size_t kMaxEvents = 4096;

}  // namespace

CacheEventLog::CacheEventLog(const EngineParameters& parameters)
    : delay_(parameters.cache_event_delay_),
      loss_(parameters.cache_event_loss_),
      rng_(parameters.seed_) {}

void CacheEventLog::Add(uint64_t hash, bool stored, Micros now) {
  const int64_t number = next_number_++;
  if (std::generate_canonical<double, 53>(rng_) < loss_) {
    return;
  }
  events_.push_back(CacheEvent{number, now, hash, stored});
  if (events_.size() > kMaxEvents) {
    events_.pop_front();
  }
}

std::vector<CacheEvent> CacheEventLog::GetPublished(int64_t number,
                                                    Micros now) const {
  std::vector<CacheEvent> published;
  for (const CacheEvent& event : events_) {
    if (event.number_ >= number && event.at_ + delay_ <= now) {
      published.push_back(event);
    }
  }
  return published;
}

}  // namespace bergamotscale::emulator
