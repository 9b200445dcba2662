#include "src/gateway/prompt_placement.h"

#include <xxhash.h>

namespace bergamotscale::gateway {

std::vector<uint64_t> ListSharedParts(const PromptShape& prompt) {
  std::vector<uint64_t> ids;
  for (size_t i = 0; i + 1 < prompt.parts_.size(); ++i) {
    ids.push_back(prompt.parts_[i].id_);
  }
  return ids;
}

policy::PlacementRequest MakePlacementRequest(const PromptShape& prompt,
                                              bool engine) {
  policy::PlacementRequest request;
  request.engine_ = engine;
  uint64_t hash = 0;
  for (size_t i = 0; i + 1 < prompt.parts_.size(); ++i) {
    const uint64_t pair[2] = {hash, prompt.parts_[i].id_};
    hash = XXH3_64bits(pair, sizeof(pair));
    request.shared_.push_back({hash, prompt.parts_[i].tokens_});
  }
  const Tokens shared = request.SharedTokens();
  request.own_tokens_ =
      prompt.prompt_ > shared ? prompt.prompt_ - shared : Tokens(0);
  return request;
}

}  // namespace bergamotscale::gateway
