#include "src/console/draft.h"

#include <utility>

#include "src/config/delta.h"
#include "src/config/document_reader.h"

namespace bergamotscale::console {
namespace {

using nlohmann::json;
using settings::FieldError;
using settings::FieldErrors;

constexpr char kOrigin[] = "draft";

json AddMissingLists(json document) {
  if (!document.is_object()) {
    document = json::object();
  }
  for (const Section& section : Sections()) {
    document.emplace(section.list_, json::array());
  }
  return document;
}

size_t IndexOf(const json& entries,
               const Section& section,
               const std::string& name) {
  for (size_t index = 0; index < entries.size(); ++index) {
    if (entries[index].value(section.name_key_, std::string()) == name) {
      return index;
    }
  }
  return entries.size();
}

std::string TextOf(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string Join(const std::string& outer, const std::string& inner) {
  std::string joined = outer;
  joined += " / ";
  joined += inner;
  return joined;
}

// Compares two entries of the same name. One of them is null if the entry was
// added or removed.
void CompareEntries(const std::string& where,
                    const json& before,
                    const json& after,
                    std::vector<Change>* changes) {
  if (before.is_null()) {
    changes->push_back({Change::Kind::kAdded, where, "", after.dump()});
    return;
  }
  if (after.is_null()) {
    changes->push_back({Change::Kind::kRemoved, where, before.dump(), ""});
    return;
  }
  for (const auto& [member, value] : after.items()) {
    if (!before.contains(member) || before[member] != value) {
      const std::string old =
          before.contains(member) ? TextOf(before[member]) : std::string();
      changes->push_back(
          {Change::Kind::kChanged, Join(where, member), old, TextOf(value)});
    }
  }
}

json FindEntry(const json& document,
               const Section& section,
               const std::string& name) {
  const json entries = document.value(section.list_, json::array());
  const size_t index = IndexOf(entries, section, name);
  return index < entries.size() ? entries[index] : json();
}

}  // namespace

std::vector<Change> CompareDocuments(const json& before, const json& after) {
  std::vector<Change> changes;
  for (const Section& section : Sections()) {
    const std::string list = section.list_;
    for (const json& entry : before.value(list, json::array())) {
      const std::string name = entry.value(section.name_key_, std::string());
      CompareEntries(Join(list, name), entry, FindEntry(after, section, name),
                     &changes);
    }
    for (const json& entry : after.value(list, json::array())) {
      const std::string name = entry.value(section.name_key_, std::string());
      if (FindEntry(before, section, name).is_null()) {
        CompareEntries(Join(list, name), json(), entry, &changes);
      }
    }
  }
  return changes;
}

Draft::Draft(Revision revision, const json& base)
    : base_revision_(revision),
      base_(AddMissingLists(base)),
      document_(base_) {}

bool Draft::HasSameEntries(const json& document) const {
  return CompareDocuments(document, document_).empty();
}

json Draft::Find(const Section& section, const std::string& name) const {
  return FindEntry(document_, section, name);
}

FieldErrors Draft::Save(const Section& section,
                        const std::string& name,
                        const json& entry) {
  json changed = document_;
  json& entries = changed[section.list_];
  const size_t index =
      name.empty() ? entries.size() : IndexOf(entries, section, name);
  if (index == entries.size()) {
    entries.push_back(entry);
  } else {
    entries[index] = entry;
  }
  FieldErrors all;
  config::ReadConfigDocument(changed, kOrigin, &all);
  const std::string prefix =
      std::string(section.list_) + "[" + std::to_string(index) + "].";
  FieldErrors own;
  for (const FieldError& error : all) {
    if (error.key_.compare(0, prefix.size(), prefix) == 0) {
      own.push_back(
          {kOrigin, error.key_.substr(prefix.size()), error.expected_});
    } else if (error.key_ == section.list_) {
      own.push_back({kOrigin, "", error.expected_});
    }
  }
  if (own.empty()) {
    document_ = std::move(changed);
  }
  return own;
}

void Draft::Remove(const Section& section, const std::string& name) {
  json& entries = document_[section.list_];
  const size_t index = IndexOf(entries, section, name);
  if (index < entries.size()) {
    entries.erase(index);
  }
}

FieldErrors Draft::Check() const {
  FieldErrors errors;
  config::ReadConfigDocument(document_, kOrigin, &errors);
  return errors;
}

Status Draft::Rebase(Revision revision, const json& base) {
  const json onto = AddMissingLists(base);
  Result<json> moved =
      config::ApplyDelta(onto, config::MakeDelta(base_, document_));
  if (!moved.ok()) {
    return moved.error();
  }
  base_revision_ = revision;
  base_ = onto;
  document_ = std::move(moved).value();
  return Done{};
}

}  // namespace bergamotscale::console
