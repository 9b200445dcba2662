#include "src/config/delta.h"

#include <string>

namespace bergamotscale::config {
namespace {

using nlohmann::json;

// The member that names an element of a list.
std::string KeyOf(const json& element) {
  const char* key = element.contains("path") ? "path" : "name";
  return element.value(key, std::string());
}

json ToKeyed(const json& document) {
  json keyed = json::object();
  for (const auto& [list, elements] : document.items()) {
    json by_key = json::object();
    for (const json& element : elements) {
      by_key[KeyOf(element)] = element;
    }
    keyed[list] = std::move(by_key);
  }
  return keyed;
}

// Objects are ordered by key, as the canonical lists are.
json FromKeyed(const json& keyed) {
  json document = json::object();
  for (const auto& [list, by_key] : keyed.items()) {
    json elements = json::array();
    for (const json& element : by_key) {
      elements.push_back(element);
    }
    document[list] = std::move(elements);
  }
  return document;
}

}  // namespace

json MakeDelta(const json& from, const json& to) {
  return json::diff(ToKeyed(from), ToKeyed(to));
}

Result<json> ApplyDelta(const json& from, const json& delta) {
  try {
    return FromKeyed(ToKeyed(from).patch(delta));
  } catch (const json::exception& failure) {
    return Error(ErrorCode::kInvalidConfig, failure.what());
  }
}

}  // namespace bergamotscale::config
