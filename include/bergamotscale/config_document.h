// The configuration document: workspaces, models, service classes and routes.
#ifndef BERGAMOTSCALE_CONFIG_DOCUMENT_H_
#define BERGAMOTSCALE_CONFIG_DOCUMENT_H_

#include <string>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"

namespace bergamotscale {

// A service class: its latency targets, priority and guaranteed share.
struct ServiceClass {
  ClassId name_;
  Tier tier_ = Tier(1);
  // Target time to first token, from the arrival of the request.
  Millis first_token_ = Millis(1900);
  // Target mean inter-token latency.
  Millis between_tokens_ = Millis(28);
  // Time after arrival at which an unfinished request is cancelled.
  Millis deadline_ = Millis(60000);
  // Minimum share of each upstream's work, in percent, that this class gets
  // while it has requests waiting.
  int floor_percent_ = 0;
  // Whether requests of this class may be executed more than once.
  bool idempotent_ = true;
};

// A customer's account, with its API keys and rate limit.
struct Workspace {
  WorkspaceId name_;
  // Hex SHA-256 hashes of the API keys.
  std::vector<std::string> key_hashes_;
  double requests_per_second_ = 50;
  int burst_ = 100;
  // Classes that this workspace may use; the first is its default.
  std::vector<ClassId> classes_;
};

enum class GroupKind { kEngine = 0, kService = 1 };

// Upstreams that can serve the same requests.
struct UpstreamGroup {
  GroupId name_;
  GroupKind kind_ = GroupKind::kEngine;
  // Whether these upstreams reject engine orders with an outdated fencing
  // number.
  bool checks_fence_ = false;
  // Number of models that an engine can hold; zero if unlimited.
  int models_per_engine_ = 0;
};

// A model and the group of engines that serves it.
struct Model {
  ModelId name_;
  GroupId group_;
  // Version that the engines must have loaded; empty for any version.
  std::string version_ = {};
  // Adapters that each of these engines has loaded in addition to the model.
  std::vector<std::string> adapters_ = {};
};

// Maps a path to the plain service, not a model, that handles it.
struct ServiceRoute {
  std::string path_;
  GroupId group_;
  ClassId class_;
  // If false, each call must carry an Idempotency-Key header.
  bool idempotent_ = false;
};

// An operator of the console.
struct Operator {
  std::string name_;
  // PBKDF2-HMAC-SHA256 as "iterations$hex salt$hex hash".
  std::string password_hash_;
};

// The whole configuration as one value, published and replaced as a unit.
struct ConfigDocument {
  std::vector<ServiceClass> classes_;
  std::vector<Workspace> workspaces_;
  std::vector<UpstreamGroup> groups_;
  std::vector<Model> models_;
  std::vector<ServiceRoute> services_;
  std::vector<Operator> operators_;

  // @return the item of that name, or null. The pointer is valid until this
  // document is changed or destroyed. Thread safety: safe as long as no thread
  // changes the document.
  const ServiceClass* FindClass(const ClassId& name) const;
  const Workspace* FindWorkspace(const WorkspaceId& name) const;
  const UpstreamGroup* FindGroup(const GroupId& name) const;
  const Model* FindModel(const ModelId& name) const;
  const ServiceRoute* FindService(const std::string& path) const;
  // @param key_hash hex SHA-256 of the workspace key.
  const Workspace* FindWorkspaceByKeyHash(const std::string& key_hash) const;
};

// Parses a document from JSON with comments and validates it: types, ranges,
// unknown names, references, and the limits on sums of `floor_percent`.
// @param text the JSON text.
// @param origin the name of the source in error messages, such as a file name.
// @return the document, or kInvalidConfig whose detail has one line for each
// error: "origin:key: expected ...".
// Thread safety: safe.
Result<ConfigDocument> ParseConfigDocument(const std::string& text,
                                           const std::string& origin);

// @return the document as canonical JSON, which ParseConfigDocument accepts.
// Thread safety: safe.
std::string SerializeConfigDocument(const ConfigDocument& document);

}  // namespace bergamotscale

#endif  // BERGAMOTSCALE_CONFIG_DOCUMENT_H_
