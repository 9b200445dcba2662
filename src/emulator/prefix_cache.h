// The prefix cache of the emulated engine: an LRU cache bounded in tokens.
#ifndef BERGAMOTSCALE_SRC_EMULATOR_PREFIX_CACHE_H_
#define BERGAMOTSCALE_SRC_EMULATOR_PREFIX_CACHE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

#include "bergamotscale/units.h"

namespace bergamotscale::emulator {

// Maps hashes of prefix blocks and prompts to token counts. Thread safety: use
// from one thread at a time.
class PrefixCache {
 public:
  // Called for each entry that is stored (true) or evicted (false).
  using ChangeHook = std::function<void(uint64_t hash, bool stored)>;

  PrefixCache(Tokens capacity, ChangeHook hook);
  PrefixCache(const PrefixCache&) = delete;
  PrefixCache& operator=(const PrefixCache&) = delete;

  // Stores an entry or makes it the most recent, and evicts the least recent
  // entries to make space. An entry larger than the capacity isn't stored.
  void Store(uint64_t hash, Tokens tokens);

  // @return the tokens of the entry, which becomes the most recent; 0 if
  // absent.
  Tokens Find(uint64_t hash);

  // @return the tokens of the longest cached prefix.
  // @param hashes hashes of the prompt's blocks, shortest prefix first.
  Tokens FindPrefix(const std::vector<uint64_t>& hashes);

  void Clear();
  Tokens used() const { return used_; }

 private:
  struct Entry {
    uint64_t hash_ = 0;
    Tokens tokens_;
  };

  void EvictOldest();

  Tokens capacity_;
  ChangeHook hook_;
  Tokens used_;
  std::list<Entry> entries_;  // most recent first
  std::unordered_map<uint64_t, std::list<Entry>::iterator> index_;
};

}  // namespace bergamotscale::emulator

#endif  // BERGAMOTSCALE_SRC_EMULATOR_PREFIX_CACHE_H_
