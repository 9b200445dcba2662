#include "src/console/sections.h"

#include <sstream>

#include "src/config/key_hash.h"

namespace bergamotscale::console {
namespace {

using nlohmann::json;

constexpr char kPasswordInput[] = "password_hash";

std::string Trim(const std::string& text) {
  const size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string::npos) {
    return {};
  }
  const size_t last = text.find_last_not_of(" \t\r\n");
  return text.substr(first, last - first + 1);
}

std::string ScalarText(const json& value) {
  if (value.is_string()) {
    return value.get<std::string>();
  }
  if (value.is_number_float()) {
    std::ostringstream text;
    text << value.get<double>();
    return text.str();
  }
  return value.dump();
}

json NumberOf(const std::string& text) {
  const json value = json::parse(text, nullptr, /*allow_exceptions=*/false);
  return value.is_number() ? value : json(text);
}

json NamesOf(const std::string& text) {
  json names = json::array();
  std::istringstream stream(text);
  std::string name;
  while (std::getline(stream, name, ',')) {
    name = Trim(name);
    if (!name.empty()) {
      names.push_back(name);
    }
  }
  return names;
}

void TakeField(const Field& field, const std::string& text, json* entry) {
  switch (field.kind_) {
    case FieldKind::kText:
    case FieldKind::kGroupKind:
      (*entry)[field.key_] = text;
      break;
    case FieldKind::kNumber:
      // An empty input selects the default.
      if (text.empty()) {
        entry->erase(field.key_);
      } else {
        (*entry)[field.key_] = NumberOf(text);
      }
      break;
    case FieldKind::kBoolean:
      (*entry)[field.key_] = !text.empty();
      break;
    case FieldKind::kNames:
      (*entry)[field.key_] = NamesOf(text);
      break;
    case FieldKind::kPassword:
      // An empty input keeps the password.
      if (!text.empty()) {
        (*entry)[field.key_] = config::HashPassword(text);
      }
      break;
  }
}

std::vector<Section> MakeSections() {
  const auto text = FieldKind::kText;
  const auto number = FieldKind::kNumber;
  const auto boolean = FieldKind::kBoolean;
  return {
      {"classes",
       "Service classes",
       "service class",
       "name",
       {{"name", "Name", text, ""},
        {"tier", "Tier", number, "1 is the most urgent, 9 the least"},
        {"first_token_ms", "First token, ms", number, "target"},
        {"between_tokens_ms", "Between tokens, ms", number, "target, mean"},
        {"deadline_ms", "Deadline, ms", number, "given up after that"},
        {"floor_percent", "Floor, %", number,
         "share of every upstream while requests wait"},
        {"idempotent", "Idempotent", boolean, "may run more than once"}}},
      {"workspaces",
       "Workspaces",
       "workspace",
       "name",
       {{"name", "Name", text, ""},
        {"requests_per_second", "Requests a second", number, ""},
        {"burst", "Burst", number, "requests"},
        {"classes", "Classes", FieldKind::kNames,
         "names with commas; the first is the default"}}},
      {"groups",
       "Upstream groups",
       "upstream group",
       "name",
       {{"name", "Name", text, ""},
        {"kind", "Kind", FieldKind::kGroupKind, ""},
        {"checks_fence", "Checks fencing numbers", boolean,
         "its engines refuse an old number"},
        {"models_per_engine", "Models per engine", number,
         "room of each engine; 0 or empty for any number"}}},
      {"models",
       "Models",
       "model",
       "name",
       {{"name", "Name", text, ""},
        {"group", "Group", text, "a group of engines"},
        {"version", "Version", text, "empty for any"},
        {"adapters", "Adapters", FieldKind::kNames, "names with commas"}}},
      {"services",
       "Service routes",
       "service route",
       "path",
       {{"path", "Path", text, "such as /v1/orders"},
        {"group", "Group", text, "a group of services"},
        {"class", "Class", text, ""},
        {"idempotent", "Idempotent", boolean,
         "else calls need an Idempotency-Key"}}},
      {"operators",
       "Operators",
       "operator",
       "name",
       {{"name", "Name", text, ""},
        {kPasswordInput, "Password", FieldKind::kPassword,
         "empty keeps the one there is"}}},
  };
}

}  // namespace

const std::vector<Section>& Sections() {
  static const std::vector<Section> kSections = MakeSections();
  return kSections;
}

const Section* FindSection(const std::string& list) {
  for (const Section& section : Sections()) {
    if (section.list_ == list) {
      return &section;
    }
  }
  return nullptr;
}

std::string FieldText(const Field& field, const json& entry) {
  const auto found = entry.find(field.key_);
  if (found == entry.end()) {
    return {};
  }
  switch (field.kind_) {
    case FieldKind::kPassword:
      return {};
    case FieldKind::kBoolean:
      return *found == true ? "yes" : "";
    case FieldKind::kNames: {
      std::string names;
      for (const json& name : *found) {
        names += (names.empty() ? "" : ", ") + name.get<std::string>();
      }
      return names;
    }
    default:
      return ScalarText(*found);
  }
}

json TakeFields(const Section& section, json entry, const Form& form) {
  for (const Field& field : section.fields_) {
    TakeField(field, Trim(form.Get(field.key_)), &entry);
  }
  return entry;
}

}  // namespace bergamotscale::console
