// Checks that span several elements of a configuration document.
#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "src/config/document_reader.h"

namespace bergamotscale::config {
namespace {

using settings::FieldErrors;

// Paths that an entry serves itself.
constexpr const char* kReservedPaths[] = {"/v1/chat/completions",
                                          "/healthz",
                                          "/readyz",
                                          "/metrics",
                                          "/timeline",
                                          "/placement"};

// Collects the errors of one document.
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
  void AddError(const char* list,
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
        AddError(list, index, field,
                 "a " + std::string(field) + " used only once");
      }
    }
  }

  void CheckUniqueNames() {
    const auto name_value = [](const auto& entry) {
      return entry.name_.value();
    };
    CheckUnique("classes", "name", document_.classes_, name_value);
    CheckUnique("workspaces", "name", document_.workspaces_, name_value);
    CheckUnique("groups", "name", document_.groups_, name_value);
    CheckUnique("models", "name", document_.models_, name_value);
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
          AddError("workspaces", index, "classes",
                   "classes of this document, not \"" + name.value() + "\"");
        }
      }
      for (const std::string& hash : workspace.key_hashes_) {
        if (!hashes.insert(hash).second) {
          AddError("workspaces", index, "key_hashes", "keys used only once");
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
    AddError(list, index, "group", "the name of a group of kind " + wanted);
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
        AddError("services", index, "class", "a class of this document");
      }
      const bool reserved =
          std::find(std::begin(kReservedPaths), std::end(kReservedPaths),
                    service.path_) != std::end(kReservedPaths);
      if (reserved) {
        AddError("services", index, "path",
                 "a path that the entry doesn't answer");
      }
    }
  }

  int SumFloorsBelow(Tier tier) const {
    int sum = 0;
    for (const ServiceClass& service_class : document_.classes_) {
      if (service_class.tier_ > tier) {
        sum += service_class.floor_percent_;
      }
    }
    return sum;
  }

  void CheckFloors() {
    const int sum = SumFloorsBelow(Tier(0));
    if (sum > kMaxFloorSumPercent) {
      errors_->push_back({origin_, "classes",
                          "floors of at most " +
                              std::to_string(kMaxFloorSumPercent) +
                              " percent together, not " + std::to_string(sum)});
    }
    // The sum below the most urgent tier includes the sums below all others.
    Tier most_urgent = Tier(1 << 10);
    for (const ServiceClass& service_class : document_.classes_) {
      most_urgent = std::min(most_urgent, service_class.tier_);
    }
    const int lower_sum = SumFloorsBelow(most_urgent);
    if (lower_sum > kMaxLowerFloorSumPercent) {
      errors_->push_back({origin_, "classes",
                          "floors of at most " +
                              std::to_string(kMaxLowerFloorSumPercent) +
                              " percent together below tier " +
                              std::to_string(most_urgent.value()) + ", not " +
                              std::to_string(lower_sum)});
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
