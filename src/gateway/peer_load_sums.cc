#include "src/gateway/peer_load_sums.h"

#include <utility>

namespace bergamotscale::gateway {
namespace {

// A peer's loads are ignored once they are this old.
constexpr Millis kPeerLoadLifetime = Millis(1'000);
constexpr Millis kPeerCheckInterval = Millis(100);

}  // namespace

void PeerLoadSums::Apply(const std::string& peer,
                         LoadReport loads,
                         Millis now) {
  PeerLoads& known = peers_[peer];
  received_sum_ += now - known.received_at_;
  Add(known.loads_, -1);
  Add(loads, 1);
  known = PeerLoads{std::move(loads), now};
}

void PeerLoadSums::Expire(Millis now) {
  if (now - checked_at_ < kPeerCheckInterval) {
    return;
  }
  checked_at_ = now;
  for (auto it = peers_.begin(); it != peers_.end();) {
    if (now - it->second.received_at_ > kPeerLoadLifetime) {
      Add(it->second.loads_, -1);
      received_sum_ -= it->second.received_at_;
      it = peers_.erase(it);
    } else {
      ++it;
    }
  }
}

Millis PeerLoadSums::MeanAge(Millis now) const {
  return peers_.empty()
             ? Millis(0)
             : now - received_sum_ / static_cast<int64_t>(peers_.size());
}

InstanceLoad PeerLoadSums::Instance(uint64_t id_hash) const {
  const auto found = instances_.find(id_hash);
  return found == instances_.end() ? InstanceLoad() : found->second;
}

ShortPromptLoad PeerLoadSums::ShortPrompts(uint64_t group_hash) const {
  const auto found = short_prompts_.find(group_hash);
  return found == short_prompts_.end() ? ShortPromptLoad() : found->second;
}

void PeerLoadSums::Add(const LoadReport& loads, int sign) {
  for (const InstanceLoad& load : loads.instances_) {
    InstanceLoad& sum = instances_[load.id_hash_];
    sum.running_ += sign * load.running_;
    sum.unread_tokens_ += sign * load.unread_tokens_;
    if (sum.running_ <= 0) {
      instances_.erase(load.id_hash_);
    }
  }
  for (const ShortPromptLoad& load : loads.short_prompts_) {
    ShortPromptLoad& sum = short_prompts_[load.group_hash_];
    sum.running_ += sign * load.running_;
    sum.tokens_per_s_ += sign * load.tokens_per_s_;
  }
}

}  // namespace bergamotscale::gateway
