// What placement needs to know of a prompt.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_PROMPT_PLACEMENT_H_
#define BERGAMOTSCALE_SRC_GATEWAY_PROMPT_PLACEMENT_H_

#include <cstdint>
#include <vector>

#include "src/gateway/header_codec.h"
#include "src/policy/placer.h"

namespace bergamotscale::gateway {

// @return the parts that other requests may have too: all but the last.
// Thread safety: safe.
std::vector<uint64_t> ListSharedParts(const PromptShape& prompt);

// @param engine whether the upstreams are engines. Thread safety: safe.
policy::PlacementRequest MakePlacementRequest(const PromptShape& prompt,
                                              bool engine);

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_PROMPT_PLACEMENT_H_
