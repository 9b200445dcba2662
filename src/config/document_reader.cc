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

template <typename Id>
void ReadName(FieldReader& reader, const char* key, Id* target) {
  std::string text;
  reader.String(key, Need::kRequired, &text);
  if (!text.empty() && !IsName(text)) {
    reader.AddError(key, "a name of at most 64 letters, digits or -_.:");
  }
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
  reader.String("kind", Need::kRequired, &kind);
  if (kind == "service") {
    target->kind_ = GroupKind::kService;
  } else if (!kind.empty() && kind != "engine") {
    reader.AddError("kind", "\"engine\" or \"service\"");
  }
  reader.Boolean("checks_fence", Need::kOptional, &target->checks_fence_);
}

void ReadModel(FieldReader& reader, Model* target) {
  ReadName(reader, "name", &target->name_);
  ReadName(reader, "group", &target->group_);
}

void ReadService(FieldReader& reader, ServiceRoute* target) {
  reader.String("path", Need::kRequired, &target->path_);
  if (!target->path_.empty() && !IsServicePath(target->path_)) {
    reader.AddError("path", "a path such as \"/v1/orders\"");
  }
  ReadName(reader, "group", &target->group_);
  ReadName(reader, "class", &target->class_);
  reader.Boolean("idempotent", Need::kOptional, &target->idempotent_);
}

void ReadOperator(FieldReader& reader, Operator* target) {
  reader.String("name", Need::kRequired, &target->name_);
  if (!target->name_.empty() && !IsName(target->name_)) {
    reader.AddError("name", "a name of at most 64 letters, digits or -_.:");
  }
  reader.String("password_hash", Need::kRequired, &target->password_hash_);
  if (!target->password_hash_.empty() &&
      !IsPasswordHash(target->password_hash_)) {
    reader.AddError("password_hash", "iterations$hex salt$hex hash");
  }
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

// An element that is no object was skipped, so that indices don't match.
bool ReadAllElements(const FieldErrors& errors) {
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
  if (ReadAllElements(*errors)) {
    CheckConfigDocument(document, origin, errors);
  }
  return document;
}

}  // namespace bergamotscale::config
