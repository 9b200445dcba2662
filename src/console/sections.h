// The lists of a configuration document as forms: which fields an entry has.
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

// One input of a form.
struct Field {
  const char* key_;  // the member of the document's entry
  const char* label_;
  FieldKind kind_;
  const char* hint_;
};

// One list of the document.
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

// @return the text that an input shows for a member of an entry.
std::string FieldText(const Field& field, const nlohmann::json& entry);

// Takes the form's values into an entry. A value that isn't of its kind is
// taken as text, so that the document's check reports it.
nlohmann::json TakeFields(const Section& section,
                          nlohmann::json entry,
                          const Form& form);

}  // namespace bergamotscale::console

#endif  // BERGAMOTSCALE_SRC_CONSOLE_SECTIONS_H_
