#include "src/config/delta.h"

#include <algorithm>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace bergamotscale::config {
namespace {

using nlohmann::json;

// @return the value of the member that identifies an element of a list.
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

// JSON objects are ordered by key, so the resulting lists are canonical.
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

// Identifies one element of one list of a document.
struct ElementId {
  std::string list_;
  std::string key_;

  bool operator<(const ElementId& other) const {
    return std::tie(list_, key_) < std::tie(other.list_, other.key_);
  }
};

using ElementIds = std::set<ElementId>;

// A canonical list is ordered by key, without duplicate keys.
bool IsCanonicalList(const json& list) {
  if (!list.is_array()) {
    return false;
  }
  std::string previous_key;
  for (const json& element : list) {
    if (!element.is_object()) {
      return false;
    }
    std::string key = KeyOf(element);
    if (&element != &list.front() && key <= previous_key) {
      return false;
    }
    previous_key = std::move(key);
  }
  return true;
}

bool IsCanonical(const json& document) {
  return document.is_object() &&
         std::all_of(document.begin(), document.end(), IsCanonicalList);
}

// Adds the element that the JSON pointer "/list/key/..." refers to.
// @return false for a pointer to a whole list or to the document.
bool AddTargetElement(const std::string& pointer, ElementIds* elements) {
  json::json_pointer rest(pointer);
  std::vector<std::string> tokens;
  while (!rest.empty()) {
    tokens.push_back(rest.back());
    rest.pop_back();
  }
  if (tokens.size() < 2) {
    return false;
  }
  elements->insert({tokens.back(), tokens[tokens.size() - 2]});
  return true;
}

// @return false if the delta also changes whole lists or the document itself.
bool CollectElements(const json& delta, ElementIds* elements) {
  for (const json& operation : delta) {
    for (const char* const member : {"path", "from"}) {
      if (operation.contains(member) &&
          !AddTargetElement(operation[member].get<std::string>(), elements)) {
        return false;
      }
    }
  }
  return true;
}

template <typename List>
auto FindPosition(List& list, const std::string& key) {
  return std::lower_bound(list.begin(), list.end(), key,
                          [](const json& element, const std::string& wanted) {
                            return KeyOf(element) < wanted;
                          });
}

// @return the keyed form of a document, with only the given elements.
json SelectElements(const json& document, const ElementIds& elements) {
  json keyed = json::object();
  for (const auto& [list, unused] : document.items()) {
    keyed[list] = json::object();
  }
  for (const ElementId& id : elements) {
    if (!document.contains(id.list_)) {
      continue;
    }
    const json& list = document[id.list_];
    const auto position = FindPosition(list, id.key_);
    if (position != list.end() && KeyOf(*position) == id.key_) {
      keyed[id.list_][id.key_] = *position;
    }
  }
  return keyed;
}

void StoreElement(const ElementId& id, const json& keyed, json* list) {
  const auto position = FindPosition(*list, id.key_);
  const bool found = position != list->end() && KeyOf(*position) == id.key_;
  const auto changed = keyed.find(id.key_);
  if (changed == keyed.end()) {
    if (found) {
      list->erase(position);
    }
  } else if (found) {
    *position = *changed;
  } else {
    list->insert(position, *changed);
  }
}

// @return whether every element still has the key it is stored under.
bool KeysAreUnchanged(const json& keyed, const ElementIds& elements) {
  return std::all_of(
      elements.begin(), elements.end(), [&keyed](const ElementId& id) {
        const auto list = keyed.find(id.list_);
        const bool present = list != keyed.end() && list->contains(id.key_);
        return !present || ((*list)[id.key_].is_object() &&
                            KeyOf((*list)[id.key_]) == id.key_);
      });
}

// Preconditions: the document is canonical; the delta changes only these
// elements.
// @return false, and changes nothing, if an element's key would change.
bool PatchElements(const json& delta,
                   const ElementIds& elements,
                   json* document) {
  json keyed = SelectElements(*document, elements).patch(delta);
  if (!KeysAreUnchanged(keyed, elements)) {
    return false;
  }
  for (const ElementId& id : elements) {
    if (document->contains(id.list_)) {
      StoreElement(id, keyed[id.list_], &(*document)[id.list_]);
    }
  }
  return true;
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

Status PatchDocument(const json& delta, json* document) {
  try {
    ElementIds elements;
    if (IsCanonical(*document) && CollectElements(delta, &elements) &&
        PatchElements(delta, elements, document)) {
      return Done{};
    }
  } catch (const json::exception& failure) {
    return Error(ErrorCode::kInvalidConfig, failure.what());
  }
  Result<json> changed = ApplyDelta(*document, delta);
  if (!changed.ok()) {
    return changed.error();
  }
  *document = std::move(changed).value();
  return Done{};
}
}  // namespace bergamotscale::config
