// Reads identifiers from settings.
#ifndef BERGAMOTSCALE_SRC_SETTINGS_ID_FIELD_H_
#define BERGAMOTSCALE_SRC_SETTINGS_ID_FIELD_H_

#include <string>

#include "src/settings/field_reader.h"

namespace bergamotscale::settings {

// Reads a required StringId. Thread safety: the same as FieldReader.
template <typename Id>
void ReadId(FieldReader& reader, const char* key, Id* target) {
  std::string value = target->value();
  reader.String(key, FieldReader::Need::kRequired, &value);
  *target = Id(value);
}

}  // namespace bergamotscale::settings

#endif  // BERGAMOTSCALE_SRC_SETTINGS_ID_FIELD_H_
