// Which shared prompt parts each upstream instance is believed to keep.
#ifndef BERGAMOTSCALE_SRC_POLICY_CACHE_BELIEF_H_
#define BERGAMOTSCALE_SRC_POLICY_CACHE_BELIEF_H_

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// A shared part of a prompt: the hash of all parts up to and including it, and
// its own tokens.
struct SharedPart {
  uint64_t prefix_hash_ = 0;
  Tokens tokens_;
};

// Follows what was sent where, by this entry and by its peers, and assumes that
// an instance keeps what it read last, as far as its memory goes. This answers
// prompts that share long parts: reading such a part again costs an engine more
// than the rest of the request. Thread safety: none.
class CacheBelief {
 public:
  // @param capacity tokens that the instance keeps, running requests included.
  void SetCapacity(uint64_t instance, Tokens capacity);

  // A prompt with these shared parts, in order, was sent to the instance.
  void OnSent(uint64_t instance, const std::vector<SharedPart>& parts);

  // @return the tokens of shared parts that the instance would have to read.
  Tokens Missing(uint64_t instance, const std::vector<SharedPart>& parts) const;

  // The instance is gone, or has lost its memory.
  void Forget(uint64_t instance);

 private:
  struct Cache {
    std::list<SharedPart> parts_;  // last used first
    std::unordered_map<uint64_t, std::list<SharedPart>::iterator> by_hash_;
    Tokens kept_;
    Tokens capacity_;
  };
  static void Use(Cache* cache, const SharedPart& part);

  std::unordered_map<uint64_t, Cache> caches_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_CACHE_BELIEF_H_
