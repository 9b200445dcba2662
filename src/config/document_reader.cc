#include "src/config/document_reader.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "src/config/key_hash.h"

namespace bergamotscale::config {
namespace {

using settings::FieldErrors;
using settings::FieldReader;
using Need = FieldReader::Need;

constexpr int kMaxTier = 9;
constexpr Millis kMaxTarget = Millis(600000);
constexpr Millis kMaxDeadline = Millis(3600000);
constexpr double kMinRequestsPerSecond = 0.01;
constexpr double kMaxRequestsPerSecond = 1000000;
constexpr int kMaxBurst = 1000000;
constexpr size_t kMaxNameSize = 64;
constexpr char kExpectedName[] = "a name of at most 64 letters, digits or -_.:";

bool IsNameCharacter(char letter) {
  return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
         (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' ||
         letter == '.' || letter == ':';
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameSize &&
         std::all_of(text.begin(), text.end(), &IsNameCharacter);
}

bool IsServicePath(const std::string& text) {
  const auto allowed = [](char letter) {
    return IsNameCharacter(letter) || letter == '/';
  };
  return text.size() > 1 && text.front() == '/' &&
         std::all_of(text.begin(), text.end(), allowed);
}

bool IsGroupKind(const std::string& text) {
  return text == "engine" || text == "service";
}

// Reads a required string and checks it. A missing one gives a single error.
void ReadChecked(FieldReader& reader,
                 const char* key,
                 bool (*is_valid)(const std::string&),
                 const char* expected,
                 std::string* target) {
  static const std::string kUnset = std::string("unset\0", 6);
  std::string text = kUnset;
  reader.String(key, Need::kRequired, &text);
  if (text == kUnset) {
    return;
  }
  if (!is_valid(text)) {
    reader.AddError(key, expected);
  }
  *target = std::move(text);
}

template <typename Id>
void ReadName(FieldReader& reader, const char* key, Id* target) {
  std::string text;
  ReadChecked(reader, key, &IsName, kExpectedName, &text);
  *target = Id(text);
}

void ReadClass(FieldReader& reader, ServiceClass* target) {
  ReadName(reader, "name", &target->name_);
  int tier = static_cast<int>(target->tier_.value());
  reader.Integer("tier", Need::kRequired, 1, kMaxTier, &tier);
  target->tier_ = Tier(tier);
  reader.Duration("first_token_ms", Need::kOptional, Millis(1), kMaxTarget,
                  &target->first_token_);
  reader.Duration("between_tokens_ms", Need::kOptional, Millis(1), kMaxTarget,
                  &target->between_tokens_);
  reader.Duration("deadline_ms", Need::kOptional, Millis(1), kMaxDeadline,
                  &target->deadline_);
  reader.Integer("floor_percent", Need::kOptional, 0, 100,
                 &target->floor_percent_);
  reader.Boolean("idempotent", Need::kOptional, &target->idempotent_);
  if (target->first_token_ > target->deadline_) {
    reader.AddError("first_token_ms", "at most deadline_ms");
  }
}

void ReadWorkspace(FieldReader& reader, Workspace* target) {
  ReadName(reader, "name", &target->name_);
  reader.Strings("key_hashes", Need::kOptional, &target->key_hashes_);
  if (!std::all_of(target->key_hashes_.begin(), target->key_hashes_.end(),
                   &IsKeyHash)) {
    reader.AddError("key_hashes", "lower-case hex SHA-256 hashes");
  }
  reader.Number("requests_per_second", Need::kOptional, kMinRequestsPerSecond,
                kMaxRequestsPerSecond, &target->requests_per_second_);
  reader.Integer("burst", Need::kOptional, 1, kMaxBurst, &target->burst_);
  std::vector<std::string> classes;
  reader.Strings("classes", Need::kRequired, &classes);
  if (classes.empty()) {
    reader.AddError("classes", "at least one class");
  }
  for (std::string& name : classes) {
    target->classes_.emplace_back(std::move(name));
  }
}

void ReadGroup(FieldReader& reader, UpstreamGroup* target) {
  ReadName(reader, "name", &target->name_);
  std::string kind;
  ReadChecked(reader, "kind", &IsGroupKind, "\"engine\" or \"service\"", &kind);
  target->kind_ = kind == "service" ? GroupKind::kService : GroupKind::kEngine;
  reader.Boolean("checks_fence", Need::kOptional, &target->checks_fence_);
  constexpr int kMaxModelsPerEngine = 1000;
  reader.Integer("models_per_engine", Need::kOptional, 0, kMaxModelsPerEngine,
                 &target->models_per_engine_);
}

void ReadModel(FieldReader& reader, Model* target) {
  ReadName(reader, "name", &target->name_);
  ReadName(reader, "group", &target->group_);
  reader.String("version", Need::kOptional, &target->version_);
  if (!target->version_.empty() && !IsName(target->version_)) {
    reader.AddError("version", kExpectedName);
  }
  reader.Strings("adapters", Need::kOptional, &target->adapters_);
  if (!std::all_of(target->adapters_.begin(), target->adapters_.end(),
                   &IsName)) {
    reader.AddError("adapters", kExpectedName);
  }
}

void ReadService(FieldReader& reader, ServiceRoute* target) {
  ReadChecked(reader, "path", &IsServicePath, "a path such as \"/v1/orders\"",
              &target->path_);
  ReadName(reader, "group", &target->group_);
  ReadName(reader, "class", &target->class_);
  reader.Boolean("idempotent", Need::kOptional, &target->idempotent_);
}

void ReadOperator(FieldReader& reader, Operator* target) {
  ReadChecked(reader, "name", &IsName, kExpectedName, &target->name_);
  ReadChecked(reader, "password_hash", &IsPasswordHash,
              "iterations$hex salt$hex hash", &target->password_hash_);
}

template <typename T>
void ReadEntries(FieldReader& reader,
                 const char* key,
                 void (*read)(FieldReader&, T*),
                 std::vector<T>* target) {
  reader.Objects(key, Need::kOptional, [&](FieldReader& nested) {
    T entry;
    read(nested, &entry);
    target->push_back(std::move(entry));
  });
}

// Elements that are not objects are skipped. The indices of CheckConfigDocument
// would then be wrong.
bool AllElementsWereRead(const FieldErrors& errors) {
  return std::none_of(errors.begin(), errors.end(),
                      [](const settings::FieldError& error) {
                        return error.expected_ == "an object";
                      });
}

}  // namespace

ConfigDocument ReadConfigDocument(const nlohmann::json& json,
                                  const std::string& origin,
                                  FieldErrors* errors) {
  ConfigDocument document;
  if (!json.is_object()) {
    errors->push_back({origin, "", "a JSON object"});
    return document;
  }
  FieldReader reader(json, origin, "", errors);
  ReadEntries(reader, "classes", &ReadClass, &document.classes_);
  ReadEntries(reader, "workspaces", &ReadWorkspace, &document.workspaces_);
  ReadEntries(reader, "groups", &ReadGroup, &document.groups_);
  ReadEntries(reader, "models", &ReadModel, &document.models_);
  ReadEntries(reader, "services", &ReadService, &document.services_);
  ReadEntries(reader, "operators", &ReadOperator, &document.operators_);
  reader.Finish();
  if (AllElementsWereRead(*errors)) {
    CheckConfigDocument(document, origin, errors);
  }
  return document;
}

}  // namespace bergamotscale::config
