#include "src/emulator/cache_events.h"

namespace bergamotscale::emulator {
namespace {

constexpr size_t kMostEvents = 4096;

}  // namespace

CacheEventLog::CacheEventLog(const EngineParameters& parameters)
    : delay_(parameters.cache_event_delay_),
      loss_(parameters.cache_event_loss_),
      random_(parameters.seed_) {}

void CacheEventLog::Add(uint64_t hash, bool stored, Micros now) {
  const int64_t number = next_number_++;
  if (std::generate_canonical<double, 53>(random_) < loss_) {
    return;
  }
  events_.push_back(CacheEvent{number, now, hash, stored});
  if (events_.size() > kMostEvents) {
    events_.pop_front();
  }
}

std::vector<CacheEvent> CacheEventLog::From(int64_t number, Micros now) const {
  std::vector<CacheEvent> published;
  for (const CacheEvent& event : events_) {
    if (event.number_ >= number && event.at_ + delay_ <= now) {
      published.push_back(event);
    }
  }
  return published;
}

}  // namespace bergamotscale::emulator
