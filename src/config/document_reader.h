// Reads a configuration document from parsed JSON, keeping each fault apart.
#ifndef BERGAMOTSCALE_SRC_CONFIG_DOCUMENT_READER_H_
#define BERGAMOTSCALE_SRC_CONFIG_DOCUMENT_READER_H_

#include <string>

#include <nlohmann/json.hpp>

#include "bergamotscale/config_document.h"
#include "src/settings/field_reader.h"

namespace bergamotscale::config {

// Sum of the floors of all classes, so that priorities still decide something.
inline constexpr int kMaxFloorSumPercent = 90;
// Sum of the floors below any tier, so that they can't starve that tier.
inline constexpr int kMaxLowerFloorSumPercent = 50;

// Reads all of a document and checks it.
// @param errors receives the faults, each with a key such as "models[2].group".
// @return the document; to be used only if errors is still empty.
// Thread safety: safe for different errors.
ConfigDocument ReadConfigDocument(const nlohmann::json& json,
                                  const std::string& origin,
                                  settings::FieldErrors* errors);

// @return the canonical JSON value of a document. Thread safety: safe.
nlohmann::json ConfigDocumentToJson(const ConfigDocument& document);

// Checks what spans several entries: duplicates, references, floors.
void CheckConfigDocument(const ConfigDocument& document,
                         const std::string& origin,
                         settings::FieldErrors* errors);

}  // namespace bergamotscale::config

#endif  // BERGAMOTSCALE_SRC_CONFIG_DOCUMENT_READER_H_
