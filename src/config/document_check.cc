// Checks that span several entries of a configuration document.
#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "src/config/document_reader.h"

namespace bergamotscale::config {
namespace {

using settings::FieldErrors;

// Paths that an entry answers itself.
constexpr const char* kReservedPaths[] = {"/v1/chat/completions",
                                          "/healthz",
                                          "/readyz",
                                          "/metrics",
                                          "/timeline",
                                          "/placement"};

// Collects faults of one document.
class Checker {
 public:
  Checker(const ConfigDocument& document,
          const std::string& origin,
          FieldErrors* errors)
      : document_(document), origin_(origin), errors_(errors) {}

  void CheckAll() {
    CheckUniqueNames();
    CheckWorkspaces();
    CheckModels();
    CheckServices();
    CheckFloors();
  }

 private:
  void Add(const char* list,
           size_t index,
           const char* field,
           const std::string& expected) {
    errors_->push_back(
        {origin_,
         std::string(list) + "[" + std::to_string(index) + "]." + field,
         expected});
  }

  template <typename T, typename NameOf>
  void CheckUnique(const char* list,
                   const char* field,
                   const std::vector<T>& entries,
                   NameOf name_of) {
    std::set<std::string> seen;
    for (size_t index = 0; index < entries.size(); ++index) {
      const std::string name = name_of(entries[index]);
      if (!name.empty() && !seen.insert(name).second) {
        Add(list, index, field, "a " + std::string(field) + " used only once");
      }
    }
  }

  void CheckUniqueNames() {
    const auto by_id = [](const auto& entry) { return entry.name_.value(); };
    CheckUnique("classes", "name", document_.classes_, by_id);
    CheckUnique("workspaces", "name", document_.workspaces_, by_id);
    CheckUnique("groups", "name", document_.groups_, by_id);
    CheckUnique("models", "name", document_.models_, by_id);
    CheckUnique("services", "path", document_.services_,
                [](const ServiceRoute& entry) { return entry.path_; });
    CheckUnique("operators", "name", document_.operators_,
                [](const Operator& entry) { return entry.name_; });
  }

  void CheckWorkspaces() {
    std::set<std::string> hashes;
    for (size_t index = 0; index < document_.workspaces_.size(); ++index) {
      const Workspace& workspace = document_.workspaces_[index];
      for (const ClassId& name : workspace.classes_) {
        if (document_.FindClass(name) == nullptr) {
          Add("workspaces", index, "classes",
              "classes of this document, not \"" + name.value() + "\"");
        }
      }
      for (const std::string& hash : workspace.key_hashes_) {
        if (!hashes.insert(hash).second) {
          Add("workspaces", index, "key_hashes", "keys used only once");
        }
      }
    }
  }

  void CheckGroup(const char* list,
                  size_t index,
                  const GroupId& name,
                  GroupKind kind) {
    const UpstreamGroup* group = document_.FindGroup(name);
    if (name.empty() || (group != nullptr && group->kind_ == kind)) {
      return;
    }
    const std::string wanted =
        kind == GroupKind::kEngine ? "engine" : "service";
    Add(list, index, "group", "the name of a group of kind " + wanted);
  }

  void CheckModels() {
    for (size_t index = 0; index < document_.models_.size(); ++index) {
      CheckGroup("models", index, document_.models_[index].group_,
                 GroupKind::kEngine);
    }
  }

  void CheckServices() {
    for (size_t index = 0; index < document_.services_.size(); ++index) {
      const ServiceRoute& service = document_.services_[index];
      CheckGroup("services", index, service.group_, GroupKind::kService);
      if (!service.class_.empty() &&
          document_.FindClass(service.class_) == nullptr) {
        Add("services", index, "class", "a class of this document");
      }
      const bool reserved =
          std::find(std::begin(kReservedPaths), std::end(kReservedPaths),
                    service.path_) != std::end(kReservedPaths);
      if (reserved) {
        Add("services", index, "path", "a path that the entry doesn't answer");
      }
    }
  }

  int FloorsBelow(Tier tier) const {
    int sum = 0;
    for (const ServiceClass& service_class : document_.classes_) {
      if (service_class.tier_ > tier) {
        sum += service_class.floor_percent_;
      }
    }
    return sum;
  }

  void CheckFloors() {
    const int sum = FloorsBelow(Tier(0));
    if (sum > kMaxFloorSumPercent) {
      errors_->push_back({origin_, "classes",
                          "floors of at most " +
                              std::to_string(kMaxFloorSumPercent) +
                              " percent together, not " + std::to_string(sum)});
    }
    // The floors below the most urgent tier contain those below any other.
    Tier top = Tier(1 << 10);
    for (const ServiceClass& service_class : document_.classes_) {
      top = std::min(top, service_class.tier_);
    }
    const int lower = FloorsBelow(top);
    if (lower > kMaxLowerFloorSumPercent) {
      errors_->push_back(
          {origin_, "classes",
           "floors of at most " + std::to_string(kMaxLowerFloorSumPercent) +
               " percent together below tier " + std::to_string(top.value()) +
               ", not " + std::to_string(lower)});
    }
  }

  const ConfigDocument& document_;
  const std::string& origin_;
  FieldErrors* errors_;
};

}  // namespace

void CheckConfigDocument(const ConfigDocument& document,
                         const std::string& origin,
                         FieldErrors* errors) {
  Checker(document, origin, errors).CheckAll();
}

}  // namespace bergamotscale::config
