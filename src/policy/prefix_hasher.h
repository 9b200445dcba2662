// Hashes of prompt prefixes, which identify cached prefixes.
#ifndef BERGAMOTSCALE_SRC_POLICY_PREFIX_HASHER_H_
#define BERGAMOTSCALE_SRC_POLICY_PREFIX_HASHER_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

struct PrefixHasherOptions {
  Bytes chunk_ = Bytes(256);
  int max_hashes_ = 16;
};

// @return one hash for each whole chunk of the prompt, each over all text up to
// the chunk's end, longest last. Equal prefixes have equal hashes in every
// process. Thread safety: safe.
std::vector<uint64_t> HashPrefixes(std::string_view prompt,
                                   const PrefixHasherOptions& options = {});

// @return a digest of what is executed, by which quarantine recognizes a
// request that its caller retries. Thread safety: safe.
uint64_t ComputeDigest(std::string_view path, std::string_view body);

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_PREFIX_HASHER_H_
