#include "src/policy/prefix_hasher.h"

#include <algorithm>

#include <xxhash.h>

namespace bergamotscale::policy {

std::vector<uint64_t> HashPrefixes(std::string_view prompt,
                                   const PrefixHasherOptions& options) {
  const size_t chunk = std::max<int64_t>(options.chunk_.count(), 1);
  const size_t most = std::max(options.max_hashes_, 0);
  const size_t count = std::min(prompt.size() / chunk, most);
  std::vector<uint64_t> hashes;
  hashes.reserve(count);
  uint64_t seed = 0;
  for (size_t i = 0; i < count; ++i) {
    seed = XXH3_64bits_withSeed(prompt.data() + i * chunk, chunk, seed);
    hashes.push_back(seed);
  }
  return hashes;
}

uint64_t ComputeDigest(std::string_view path, std::string_view body) {
  const uint64_t seed = XXH3_64bits(path.data(), path.size());
  return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

}  // namespace bergamotscale::policy
