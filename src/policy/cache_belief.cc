#include "src/policy/cache_belief.h"

namespace bergamotscale::policy {
namespace {

// The rest of the memory holds running requests and their own parts.
constexpr int64_t kSharedNumerator = 1;
constexpr int64_t kSharedDenominator = 2;
// Until the capacity is known.
constexpr Tokens kDefaultCapacity = Tokens(1'000'000);

}  // namespace

void CacheBelief::SetCapacity(uint64_t instance, Tokens capacity) {
  caches_[instance].capacity_ = capacity;
}

void CacheBelief::Use(Cache* cache, const SharedPart& part) {
  const auto found = cache->by_hash_.find(part.prefix_hash_);
  if (found != cache->by_hash_.end()) {
    cache->parts_.splice(cache->parts_.begin(), cache->parts_, found->second);
    return;
  }
  cache->parts_.push_front(part);
  cache->by_hash_[part.prefix_hash_] = cache->parts_.begin();
  cache->kept_ += part.tokens_;
}

void CacheBelief::OnSent(uint64_t instance,
                         const std::vector<SharedPart>& parts) {
  Cache& cache = caches_[instance];
  // The first part last, so that it outlives those that need it.
  for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
    Use(&cache, *part);
  }
  const Tokens capacity =
      cache.capacity_ > Tokens(0) ? cache.capacity_ : kDefaultCapacity;
  const Tokens shared = capacity * kSharedNumerator / kSharedDenominator;
  while (cache.kept_ > shared && cache.parts_.size() > parts.size()) {
    cache.kept_ -= cache.parts_.back().tokens_;
    cache.by_hash_.erase(cache.parts_.back().prefix_hash_);
    cache.parts_.pop_back();
  }
}

Tokens CacheBelief::Missing(uint64_t instance,
                            const std::vector<SharedPart>& parts) const {
  const auto found = caches_.find(instance);
  Tokens missing;
  bool held = found != caches_.end();
  for (const SharedPart& part : parts) {
    held = held && found->second.by_hash_.count(part.prefix_hash_) > 0;
    if (!held) {
      missing += part.tokens_;
    }
  }
  return missing;
}

void CacheBelief::Forget(uint64_t instance) {
  caches_.erase(instance);
}

}  // namespace bergamotscale::policy
