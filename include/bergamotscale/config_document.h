// The configuration document: the whole configuration in force, one value.
#ifndef BERGAMOTSCALE_CONFIG_DOCUMENT_H_
#define BERGAMOTSCALE_CONFIG_DOCUMENT_H_

#include <string>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"

namespace bergamotscale {

// A service class with its latency targets and priority.
struct ServiceClass {
  ClassId name_;
  Tier tier_ = Tier(1);
  // Target for the time from arrival to the first token.
  Millis first_token_ = Millis(1900);
  // Target for the mean time between tokens.
  Millis between_tokens_ = Millis(28);
  // A request that has not ended by then is given up.
  Millis deadline_ = Millis(60000);
  // Share of every upstream's work, in percent, that this class is owed while
  // it has requests waiting.
  int floor_percent_ = 0;
  // Whether requests of this class may be executed more than once.
  bool idempotent_ = true;
};

// A caller's account. Keys are kept as hex SHA-256 hashes.
struct Workspace {
  WorkspaceId name_;
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
  // Whether these upstreams refuse orders with an old fencing number.
  bool checks_fence_ = false;
  // Models that an engine has room for; zero for any number.
  int models_per_engine_ = 0;
};

// A model and the group of engines that serves it.
struct Model {
  ModelId name_;
  GroupId group_;
  // What the engines must have loaded; empty for any version.
  std::string version_ = {};
  // Adapters that each of these engines has beside the model.
  std::vector<std::string> adapters_ = {};
};

// A path of a plain service behind the router.
struct ServiceRoute {
  std::string path_;
  GroupId group_;
  ClassId class_;
  // A call that is not idempotent needs an Idempotency-Key.
  bool idempotent_ = false;
};

// An operator of the console.
struct Operator {
  std::string name_;
  // PBKDF2-HMAC-SHA256 as "iterations$hex salt$hex hash".
  std::string password_hash_;
};

struct ConfigDocument {
  std::vector<ServiceClass> classes_;
  std::vector<Workspace> workspaces_;
  std::vector<UpstreamGroup> groups_;
  std::vector<Model> models_;
  std::vector<ServiceRoute> services_;
  std::vector<Operator> operators_;

  // @return the entry of that name, or null. Lifetime: of this document,
  // unchanged. Thread safety: const calls are safe together.
  const ServiceClass* FindClass(const ClassId& name) const;
  const Workspace* FindWorkspace(const WorkspaceId& name) const;
  const UpstreamGroup* FindGroup(const GroupId& name) const;
  const Model* FindModel(const ModelId& name) const;
  const ServiceRoute* FindService(const std::string& path) const;
  // @param key_hash hex SHA-256 of the workspace key.
  const Workspace* FindWorkspaceByKeyHash(const std::string& key_hash) const;
};

// Reads a document from JSON with comments and checks all of it: types,
// ranges, unknown names, references, and that the floors can hold together.
// @param text the JSON text.
// @param origin the name used in errors, such as a file name.
// @return the document, or kInvalidConfig whose detail has one line for each
// fault: "origin:key: expected ...".
// Thread safety: safe.
Result<ConfigDocument> ParseConfigDocument(const std::string& text,
                                           const std::string& origin);

// @return the document as canonical JSON, which ParseConfigDocument accepts.
// Thread safety: safe.
std::string SerializeConfigDocument(const ConfigDocument& document);

}  // namespace bergamotscale

#endif  // BERGAMOTSCALE_CONFIG_DOCUMENT_H_
