// An estimate of which shared prompt parts each upstream instance has in its
// prefix cache.
#ifndef BERGAMOTSCALE_SRC_POLICY_PREFIX_CACHE_ESTIMATE_H_
#define BERGAMOTSCALE_SRC_POLICY_PREFIX_CACHE_ESTIMATE_H_

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// A part of a prompt that other prompts share. `prefix_hash_` covers all parts
// up to and including this one; `tokens_` counts this part only.
struct SharedPromptPart {
  uint64_t prefix_hash_ = 0;
  Tokens tokens_;
};

// Models each instance's prefix cache as an LRU cache of the shared prompt
// parts that this entry and its peers sent there. Prefilling a long shared part
// again costs an engine more than the rest of the request, so requests are sent
// where their parts are likely cached. Thread safety: none.
class PrefixCacheEstimate {
 public:
  // @param capacity tokens that fit in the instance's memory, those of running
  // requests included.
  void SetCapacity(uint64_t instance, Tokens capacity);

  // Records that a prompt with these shared parts, in order, was sent to the
  // instance.
  void OnSent(uint64_t instance, const std::vector<SharedPromptPart>& parts);

  // @return the tokens of shared parts that are estimated not to be cached.
  Tokens CountUncachedTokens(uint64_t instance,
                             const std::vector<SharedPromptPart>& parts) const;

  // Drops the estimate for an instance that is gone or has lost its cache.
  void Forget(uint64_t instance);

 private:
  struct Cache {
    std::list<SharedPromptPart> parts_;  // most recently used first
    std::unordered_map<uint64_t, std::list<SharedPromptPart>::iterator>
        by_hash_;
    Tokens cached_tokens_;
    Tokens capacity_;
  };
  static void MarkUsed(Cache* cache, const SharedPromptPart& part);

  std::unordered_map<uint64_t, Cache> caches_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_PREFIX_CACHE_ESTIMATE_H_
