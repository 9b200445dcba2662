#include "src/policy/prefix_cache_estimate.h"

namespace bergamotscale::policy {
namespace {

// The part of the memory that caches shared parts. Running requests and their
// own prompt parts take the rest.
constexpr int64_t kCacheShareNumerator = 1;
constexpr int64_t kCacheShareDenominator = 2;
// Assumed until SetCapacity() is called.
constexpr Tokens kDefaultCapacity = Tokens(1'000'000);

}  // namespace

void PrefixCacheEstimate::SetCapacity(uint64_t instance, Tokens capacity) {
  caches_[instance].capacity_ = capacity;
}

void PrefixCacheEstimate::MarkUsed(Cache* cache, const SharedPromptPart& part) {
  const auto found = cache->by_hash_.find(part.prefix_hash_);
  if (found != cache->by_hash_.end()) {
    cache->parts_.splice(cache->parts_.begin(), cache->parts_, found->second);
    return;
  }
  cache->parts_.push_front(part);
  cache->by_hash_[part.prefix_hash_] = cache->parts_.begin();
  cache->cached_tokens_ += part.tokens_;
}

void PrefixCacheEstimate::OnSent(uint64_t instance,
                                 const std::vector<SharedPromptPart>& parts) {
  Cache& cache = caches_[instance];
  // Marks the first part as used last, so that it is evicted after the parts
  // that depend on it.
  for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
    MarkUsed(&cache, *part);
  }
  const Tokens capacity =
      cache.capacity_ > Tokens(0) ? cache.capacity_ : kDefaultCapacity;
  const Tokens cache_size =
      capacity * kCacheShareNumerator / kCacheShareDenominator;
  while (cache.cached_tokens_ > cache_size &&
         cache.parts_.size() > parts.size()) {
    cache.cached_tokens_ -= cache.parts_.back().tokens_;
    cache.by_hash_.erase(cache.parts_.back().prefix_hash_);
    cache.parts_.pop_back();
  }
}

Tokens PrefixCacheEstimate::CountUncachedTokens(
    uint64_t instance,
    const std::vector<SharedPromptPart>& parts) const {
  const auto found = caches_.find(instance);
  Tokens missing;
  bool cached = found != caches_.end();
  for (const SharedPromptPart& part : parts) {
    cached = cached && found->second.by_hash_.count(part.prefix_hash_) > 0;
    if (!cached) {
      missing += part.tokens_;
    }
  }
  return missing;
}

void PrefixCacheEstimate::Forget(uint64_t instance) {
  caches_.erase(instance);
}

}  // namespace bergamotscale::policy
