// Differences between two configuration documents.
#ifndef BERGAMOTSCALE_SRC_CONFIG_DELTA_H_
#define BERGAMOTSCALE_SRC_CONFIG_DELTA_H_

#include <nlohmann/json.hpp>

#include "bergamotscale/result.h"

namespace bergamotscale::config {

// A delta is an RFC 6902 patch of the document whose lists are converted to
// objects keyed by name. A change of one element thereby has the same size
// wherever it is in its list.

// @param from, to canonical JSON of two documents.
// @return the delta from `from` to `to`. Thread safety: safe.
nlohmann::json MakeDelta(const nlohmann::json& from, const nlohmann::json& to);

// @return the canonical JSON of the changed document, or kInvalidConfig if the
// delta doesn't apply. Thread safety: safe.
Result<nlohmann::json> ApplyDelta(const nlohmann::json& from,
                                  const nlohmann::json& delta);

// Applies a delta in place, with the same result as ApplyDelta(). If the
// document is canonical, only the elements named by the delta are converted.
// @param document is unchanged after an error.
// @return kInvalidConfig if the delta doesn't apply. Thread safety: safe for
// different documents.
Status PatchDocument(const nlohmann::json& delta, nlohmann::json* document);

}  // namespace bergamotscale::config

#endif  // BERGAMOTSCALE_SRC_CONFIG_DELTA_H_
