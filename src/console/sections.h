// Describes the lists of a configuration document and the form fields of their
// entries.
#ifndef BERGAMOTSCALE_SRC_CONSOLE_SECTIONS_H_
#define BERGAMOTSCALE_SRC_CONSOLE_SECTIONS_H_

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "src/console/form.h"

namespace bergamotscale::console {

enum class FieldKind {
  kText,
  kNumber,
  kBoolean,
  kNames,
  kGroupKind,
  kPassword
};

// A field of an entry's form.
struct Field {
  const char* key_;  // the member of the entry
  const char* label_;
  FieldKind kind_;
  const char* hint_;
};

// A list of the document, shown as one section of the overview.
struct Section {
  const char* list_;
  const char* title_;
  const char* entry_title_;
  const char* name_key_;  // the member that names an entry
  std::vector<Field> fields_;
};

// @return all sections, in the order of the page. Lifetime: static.
const std::vector<Section>& Sections();

// @return the section of a list, or null.
const Section* FindSection(const std::string& list);

// @return the text that a field's input shows for an entry; empty for a
// password.
std::string FieldText(const Field& field, const nlohmann::json& entry);

// @return the entry, updated with the form's values. A value that can't be
// parsed is stored as text, so that the document's validation reports it.
nlohmann::json TakeFields(const Section& section,
                          nlohmann::json entry,
                          const Form& form);

}  // namespace bergamotscale::console

#endif  // BERGAMOTSCALE_SRC_CONSOLE_SECTIONS_H_
