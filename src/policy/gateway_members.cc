#include "src/policy/gateway_members.h"

#include <algorithm>
#include <iterator>

namespace bergamotscale::policy {
namespace {

// A gateway without a sign of life for this long is silent.
constexpr Millis kSilence = Millis(3'000);

}  // namespace

GatewayMembers::GatewayMembers(uint64_t own, bool expects_peers, Millis now)
    : own_(own),
      expects_peers_(expects_peers),
      started_at_(now),
      members_{own} {}

void GatewayMembers::OnSeen(uint64_t member, Millis now) {
  if (member == own_) {
    return;
  }
  const auto [found, is_new] = seen_.insert_or_assign(member, now);
  if (is_new) {
    UpdateMembers();
  }
}

void GatewayMembers::Expire(Millis now) {
  const auto live =
      1 + std::count_if(seen_.begin(), seen_.end(), [now](const auto& member) {
        return now - member.second <= kSilence;
      });
  const bool is_majority = live * 2 > static_cast<int64_t>(members_.size());
  const Millis limit = is_majority ? kForgetTime : kLongForgetTime;
  for (auto it = seen_.begin(); it != seen_.end();) {
    it = now - it->second > limit ? seen_.erase(it) : std::next(it);
  }
  if (seen_.size() + 1 != members_.size()) {
    UpdateMembers();
  }
}

int GatewayMembers::CountForShares(Millis now) const {
  const int count = static_cast<int>(members_.size());
  const bool may_have_others =
      expects_peers_ && (count == 1 || now - started_at_ < kDiscoveryTime);
  return may_have_others ? std::max(count, kAssumedCount) : count;
}

void GatewayMembers::UpdateMembers() {
  members_ = {own_};
  for (const auto& [member, seen_at] : seen_) {
    members_.push_back(member);
  }
  std::sort(members_.begin(), members_.end());
}

}  // namespace bergamotscale::policy
