// Reads and checks configuration documents in JSON.
#ifndef BERGAMOTSCALE_SRC_CONFIG_DOCUMENT_READER_H_
#define BERGAMOTSCALE_SRC_CONFIG_DOCUMENT_READER_H_

#include <string>

#include <nlohmann/json.hpp>

#include "bergamotscale/config_document.h"
#include "src/settings/field_reader.h"

namespace bergamotscale::config {

// Upper bound of the sum of all classes' floors. The rest of the capacity is
// distributed by priority.
inline constexpr int kMaxFloorSumPercent = 90;
// Upper bound of the sum of the floors of all classes below any tier, so that
// they can't starve that tier.
inline constexpr int kMaxLowerFloorSumPercent = 50;

// Reads a whole document and checks it.
// @param errors receives every error, with a key such as "models[2].group".
// @return the document; valid only if errors is still empty.
// Thread safety: safe for different errors.
ConfigDocument ReadConfigDocument(const nlohmann::json& json,
                                  const std::string& origin,
                                  settings::FieldErrors* errors);

// @return the canonical JSON value of a document. Thread safety: safe.
nlohmann::json ConfigDocumentToJson(const ConfigDocument& document);

// Checks rules that span several elements of a document: duplicates,
// references, sums of floors.
void CheckConfigDocument(const ConfigDocument& document,
                         const std::string& origin,
                         settings::FieldErrors* errors);

}  // namespace bergamotscale::config

#endif  // BERGAMOTSCALE_SRC_CONFIG_DOCUMENT_READER_H_
