#include "src/policy/waiting_room.h"

#include <algorithm>
#include <tuple>

namespace bergamotscale::policy {
namespace {

// Of the tightest target; the rest is for the urgent request's own prompt, for
// what peers send at the same moment, and for the way.
constexpr double kTargetShare = 0.4;
// Prompts shorter than this may go behind more, in proportion.
constexpr double kShortTokens = 4'000;
// Of the limit, for a prompt that another engine keeps.
constexpr double kReadAgainShare = 0.1;
// How long a late request stands back; bounds what it waits more than by its
// due time alone.
constexpr Millis kLateStandsBack = Millis(1'000);

}  // namespace

uint64_t WaitingRoom::Add(const WaitingRequest& request) {
  const uint64_t id = ++next_;
  waiting_[id] = request;
  return id;
}

void WaitingRoom::Remove(uint64_t id) {
  waiting_.erase(id);
}

std::vector<uint64_t> WaitingRoom::Order(Millis now) const {
  using Key = std::tuple<int, int, int64_t, uint64_t>;
  std::vector<Key> keys;
  keys.reserve(waiting_.size());
  for (const auto& [id, request] : waiting_) {
    const Millis due =
        request.due_ <= now ? request.due_ + kLateStandsBack : request.due_;
    keys.emplace_back(request.priority_, request.route_priority_, due.count(),
                      id);
  }
  std::sort(keys.begin(), keys.end());
  std::vector<uint64_t> order;
  order.reserve(keys.size());
  for (const Key& key : keys) {
    order.push_back(std::get<uint64_t>(key));
  }
  return order;
}

double TokensAllowedAhead(const RoomRule& rule,
                          double own_tokens,
                          bool reads_again) {
  if (rule.tightest_target_ <= Millis(0)) {
    return -1;
  }
  const double limit = kTargetShare *
                       static_cast<double>(rule.tightest_target_.count()) *
                       rule.tokens_per_ms_;
  const double all =
      limit * std::max(1.0, kShortTokens / std::max(own_tokens, 1.0));
  return reads_again ? all * kReadAgainShare : all;
}

}  // namespace bergamotscale::policy
