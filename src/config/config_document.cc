#include "bergamotscale/config_document.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "src/config/document_reader.h"

namespace bergamotscale {
namespace {

template <typename T, typename Predicate>
const T* FindIf(const std::vector<T>& entries, Predicate predicate) {
  const auto found = std::find_if(entries.begin(), entries.end(), predicate);
  return found == entries.end() ? nullptr : &*found;
}

template <typename T, typename Id>
const T* FindByName(const std::vector<T>& entries, const Id& name) {
  return FindIf(entries, [&](const T& entry) { return entry.name_ == name; });
}

}  // namespace

const ServiceClass* ConfigDocument::FindClass(const ClassId& name) const {
  return FindByName(classes_, name);
}

const Workspace* ConfigDocument::FindWorkspace(const WorkspaceId& name) const {
  return FindByName(workspaces_, name);
}

const UpstreamGroup* ConfigDocument::FindGroup(const GroupId& name) const {
  return FindByName(groups_, name);
}

const Model* ConfigDocument::FindModel(const ModelId& name) const {
  return FindByName(models_, name);
}

const ServiceRoute* ConfigDocument::FindService(const std::string& path) const {
  return FindIf(services_,
                [&](const ServiceRoute& route) { return route.path_ == path; });
}

const Workspace* ConfigDocument::FindWorkspaceByKeyHash(
    const std::string& key_hash) const {
  return FindIf(workspaces_, [&](const Workspace& workspace) {
    const std::vector<std::string>& hashes = workspace.key_hashes_;
    return std::find(hashes.begin(), hashes.end(), key_hash) != hashes.end();
  });
}

Result<ConfigDocument> ParseConfigDocument(const std::string& text,
                                           const std::string& origin) {
  const nlohmann::json json =
      nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false,
                            /*ignore_comments=*/true);
  settings::FieldErrors errors;
  ConfigDocument document = config::ReadConfigDocument(json, origin, &errors);
  if (!errors.empty()) {
    return Error(ErrorCode::kInvalidConfig, settings::JoinErrors(errors));
  }
  return document;
}

std::string SerializeConfigDocument(const ConfigDocument& document) {
  return config::ConfigDocumentToJson(document).dump();
}

}  // namespace bergamotscale
