#include "src/emulator/prefix_cache.h"

#include <utility>

namespace bergamotscale::emulator {

PrefixCache::PrefixCache(Tokens capacity, ChangeHook hook)
    : capacity_(capacity), hook_(std::move(hook)) {}

void PrefixCache::Store(uint64_t hash, Tokens tokens) {
  if (Find(hash) >= tokens || tokens > capacity_) {
    return;
  }
  const auto found = index_.find(hash);
  if (found != index_.end()) {
    used_ -= found->second->tokens_;
    entries_.erase(found->second);
    index_.erase(found);
  }
  while (used_ + tokens > capacity_) {
    EvictOldest();
  }
  entries_.push_front(Entry{hash, tokens});
  index_[hash] = entries_.begin();
  used_ += tokens;
  hook_(hash, true);
}

Tokens PrefixCache::Find(uint64_t hash) {
  const auto found = index_.find(hash);
  if (found == index_.end()) {
    return Tokens(0);
  }
  entries_.splice(entries_.begin(), entries_, found->second);
  return found->second->tokens_;
}

Tokens PrefixCache::FindPrefix(const std::vector<uint64_t>& hashes) {
  Tokens cached(0);
  for (const uint64_t hash : hashes) {
    const Tokens tokens = Find(hash);
    if (tokens == Tokens(0)) {
      break;
    }
    cached += tokens;
  }
  return cached;
}

void PrefixCache::Clear() {
  entries_.clear();
  index_.clear();
  used_ = Tokens(0);
}

void PrefixCache::EvictOldest() {
  const Entry oldest = entries_.back();
  entries_.pop_back();
  index_.erase(oldest.hash_);
  used_ -= oldest.tokens_;
  hook_(oldest.hash_, false);
}

}  // namespace bergamotscale::emulator
