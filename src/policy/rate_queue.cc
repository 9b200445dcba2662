#include "src/policy/rate_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bergamotscale::policy {
namespace {

constexpr double kMillisPerSecond = 1'000;
// More waiting requests would keep those of other groups from their turn.
constexpr int kMaxWaiting = 16;

Millis Interval(double per_second, double requests) {
  return Millis(static_cast<int64_t>(
      std::ceil(requests / per_second * kMillisPerSecond)));
}

}  // namespace

RateQueue::Ticket::Ticket(RateQueue& queue, GroupId group, int priority)
    : queue_(queue), group_(std::move(group)), priority_(priority) {
  ++queue_.groups_[group_].waiting_[priority_];
}

RateQueue::Ticket::~Ticket() {
  --queue_.groups_[group_].waiting_[priority_];
}

int RateQueue::CountAhead(const GroupId& group, int priority) const {
  int ahead = 0;
  const auto found = groups_.find(group);
  if (found != groups_.end()) {
    for (const auto& [waiting_priority, count] : found->second.waiting_) {
      ahead += waiting_priority <= priority ? count : 0;
    }
  }
  return ahead;
}

bool RateQueue::HasWaiting(const GroupId& group, int priority) const {
  return CountAhead(group, priority) > 0;
}

std::optional<Millis> RateQueue::ExpectedWait(
    const GroupId& group,
    int priority,
    const RateForecast& forecast) const {
  if (forecast.own_per_second_ <= 0 || !forecast.next_in_.has_value()) {
    return std::nullopt;
  }
  const int ahead = CountAhead(group, priority);
  if (ahead >= kMaxWaiting) {
    return std::nullopt;
  }
  return *forecast.next_in_ + Interval(forecast.own_per_second_, ahead);
}

Millis RateQueue::ReserveReturn(const GroupId& group,
                                const RateForecast& forecast,
                                Millis now) {
  const double rate = forecast.own_per_second_ > 0 ? forecast.own_per_second_
                                                   : forecast.mean_per_second_;
  if (rate <= 0) {
    return Millis(0);
  }
  Group& state = groups_[group];
  int waiting = 0;
  for (const auto& [priority, count] : state.waiting_) {
    waiting += count;
  }
  const Millis soonest = now + forecast.next_in_.value_or(Interval(rate, 1)) +
                         Interval(rate, waiting);
  state.last_return_ =
      std::min(std::max(state.last_return_ + Interval(rate, 1), soonest),
               now + kMaxReturn);
  return state.last_return_ - now;
}

}  // namespace bergamotscale::policy
