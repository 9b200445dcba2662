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

// One element of one list of a document.
struct ElementId {
  std::string list_;
  std::string key_;

  bool operator<(const ElementId& other) const {
    return std::tie(list_, key_) < std::tie(other.list_, other.key_);
  }
};

using ElementIds = std::set<ElementId>;

// A canonical list is ordered by key and has each key once.
bool IsCanonicalList(const json& list) {
  if (!list.is_array()) {
    return false;
  }
  std::string before;
  for (const json& element : list) {
    if (!element.is_object()) {
      return false;
    }
    std::string key = KeyOf(element);
    if (&element != &list.front() && key <= before) {
      return false;
    }
    before = std::move(key);
  }
  return true;
}

bool IsCanonical(const json& document) {
  return document.is_object() &&
         std::all_of(document.begin(), document.end(), IsCanonicalList);
}

// Adds the element that "/list/key/..." is about.
// @return false for a pointer to a list or to the document.
bool AddElement(const std::string& pointer, ElementIds* elements) {
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

// @return false if the delta is about more than elements.
bool CollectElements(const json& delta, ElementIds* elements) {
  for (const json& operation : delta) {
    for (const char* const member : {"path", "from"}) {
      if (operation.contains(member) &&
          !AddElement(operation[member].get<std::string>(), elements)) {
        return false;
      }
    }
  }
  return true;
}

template <typename List>
auto PlaceOf(List& list, const std::string& key) {
  return std::lower_bound(list.begin(), list.end(), key,
                          [](const json& element, const std::string& wanted) {
                            return KeyOf(element) < wanted;
                          });
}

// @return the keyed form of a document with no other elements than these.
json KeyedPart(const json& document, const ElementIds& elements) {
  json keyed = json::object();
  for (const auto& [list, unused] : document.items()) {
    keyed[list] = json::object();
  }
  for (const ElementId& id : elements) {
    if (!document.contains(id.list_)) {
      continue;
    }
    const json& list = document[id.list_];
    const auto place = PlaceOf(list, id.key_);
    if (place != list.end() && KeyOf(*place) == id.key_) {
      keyed[id.list_][id.key_] = *place;
    }
  }
  return keyed;
}

void PutElement(const ElementId& id, const json& keyed, json* list) {
  const auto place = PlaceOf(*list, id.key_);
  const bool found = place != list->end() && KeyOf(*place) == id.key_;
  const auto changed = keyed.find(id.key_);
  if (changed == keyed.end()) {
    if (found) {
      list->erase(place);
    }
  } else if (found) {
    *place = *changed;
  } else {
    list->insert(place, *changed);
  }
}

// @return whether every element still has the key that it is looked up by.
bool KeysAreKept(const json& keyed, const ElementIds& elements) {
  return std::all_of(
      elements.begin(), elements.end(), [&keyed](const ElementId& id) {
        const auto list = keyed.find(id.list_);
        const bool present = list != keyed.end() && list->contains(id.key_);
        return !present || ((*list)[id.key_].is_object() &&
                            KeyOf((*list)[id.key_]) == id.key_);
      });
}

// Preconditions: the document is canonical; the delta is about these elements.
// @return false, and changes nothing, if an element got another key.
bool PatchElements(const json& delta,
                   const ElementIds& elements,
                   json* document) {
  json keyed = KeyedPart(*document, elements).patch(delta);
  if (!KeysAreKept(keyed, elements)) {
    return false;
  }
  for (const ElementId& id : elements) {
    if (document->contains(id.list_)) {
      PutElement(id, keyed[id.list_], &(*document)[id.list_]);
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
