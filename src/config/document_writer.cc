// Writes a configuration document as canonical JSON: with every field, and with
// sorted keys and lists.
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "src/config/document_reader.h"

namespace bergamotscale::config {
namespace {

using nlohmann::json;

json ToJson(const ServiceClass& entry) {
  return {{"name", entry.name_.value()},
          {"tier", entry.tier_.value()},
          {"first_token_ms", entry.first_token_.count()},
          {"between_tokens_ms", entry.between_tokens_.count()},
          {"deadline_ms", entry.deadline_.count()},
          {"floor_percent", entry.floor_percent_},
          {"idempotent", entry.idempotent_}};
}

json ToJson(const Workspace& entry) {
  json classes = json::array();
  for (const ClassId& name : entry.classes_) {
    classes.push_back(name.value());
  }
  return {{"name", entry.name_.value()},
          {"key_hashes", entry.key_hashes_},
          {"requests_per_second", entry.requests_per_second_},
          {"burst", entry.burst_},
          {"classes", classes}};
}

json ToJson(const UpstreamGroup& entry) {
  const char* kind = entry.kind_ == GroupKind::kEngine ? "engine" : "service";
  json group = {{"name", entry.name_.value()},
                {"kind", kind},
                {"checks_fence", entry.checks_fence_}};
  if (entry.models_per_engine_ > 0) {
    group["models_per_engine"] = entry.models_per_engine_;
  }
  return group;
}

json ToJson(const Model& entry) {
  json model = {{"name", entry.name_.value()}, {"group", entry.group_.value()}};
  if (!entry.version_.empty()) {
    model["version"] = entry.version_;
  }
  if (!entry.adapters_.empty()) {
    model["adapters"] = entry.adapters_;
  }
  return model;
}

json ToJson(const ServiceRoute& entry) {
  return {{"path", entry.path_},
          {"group", entry.group_.value()},
          {"class", entry.class_.value()},
          {"idempotent", entry.idempotent_}};
}

json ToJson(const Operator& entry) {
  return {{"name", entry.name_}, {"password_hash", entry.password_hash_}};
}

template <typename T>
std::string KeyOf(const T& entry) {
  return entry.name_.value();
}
std::string KeyOf(const ServiceRoute& entry) {
  return entry.path_;
}
std::string KeyOf(const Operator& entry) {
  return entry.name_;
}

template <typename T>
json ToJsonArray(const std::vector<T>& entries) {
  std::map<std::string, json> by_key;
  for (const T& entry : entries) {
    by_key[KeyOf(entry)] = ToJson(entry);
  }
  json array = json::array();
  for (auto& [key, value] : by_key) {
    array.push_back(std::move(value));
  }
  return array;
}

}  // namespace

json ConfigDocumentToJson(const ConfigDocument& document) {
  return {{"classes", ToJsonArray(document.classes_)},
          {"workspaces", ToJsonArray(document.workspaces_)},
          {"groups", ToJsonArray(document.groups_)},
          {"models", ToJsonArray(document.models_)},
          {"services", ToJsonArray(document.services_)},
          {"operators", ToJsonArray(document.operators_)}};
}

}  // namespace bergamotscale::config
