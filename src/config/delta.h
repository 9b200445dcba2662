// Differences between two configuration documents.
#ifndef BERGAMOTSCALE_SRC_CONFIG_DELTA_H_
#define BERGAMOTSCALE_SRC_CONFIG_DELTA_H_

#include <nlohmann/json.hpp>

#include "bergamotscale/result.h"

namespace bergamotscale::config {

// A delta is an RFC 6902 patch on the document with its lists turned into
// objects by name, so that its size depends on what changed, not on where.

// @param from, to canonical JSON of two documents.
// @return the delta that turns from into to. Thread safety: safe.
nlohmann::json MakeDelta(const nlohmann::json& from, const nlohmann::json& to);

// @return the canonical JSON of the changed document, or kInvalidConfig if the
// delta doesn't fit. Thread safety: safe.
Result<nlohmann::json> ApplyDelta(const nlohmann::json& from,
                                  const nlohmann::json& delta);

// Changes a document to what ApplyDelta() returns for it, at the cost of the
// elements that the delta names if the document is canonical.
// @param document is as before after an error.
// @return kInvalidConfig if the delta doesn't fit. Thread safety: safe for
// different documents.
Status PatchDocument(const nlohmann::json& delta, nlohmann::json* document);

}  // namespace bergamotscale::config

#endif  // BERGAMOTSCALE_SRC_CONFIG_DELTA_H_
