// What a caller asks for, checked against the configuration in force.
#ifndef BERGAMOTSCALE_SRC_ENTRY_CALLER_REQUEST_H_
#define BERGAMOTSCALE_SRC_ENTRY_CALLER_REQUEST_H_

#include <cstdint>
#include <string>

#include "bergamotscale/config_document.h"
#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"

namespace bergamotscale::entry {

inline constexpr char kChatPath[] = "/v1/chat/completions";

// The parts of an HTTP request that routing reads.
struct RawRequest {
  std::string method_;
  std::string path_;
  std::string authorization_;  // "Bearer KEY"
  std::string service_class_;  // X-Service-Class; may be empty
  std::string idempotency_key_;
  std::string content_type_;
  std::string body_;
};

// A request that is valid under a configuration.
struct CallerRequest {
  RequestId id_;
  WorkspaceId workspace_;
  ServiceClass class_;
  GroupId group_;
  GroupKind kind_ = GroupKind::kEngine;
  ModelId model_;  // empty for a plain service
  std::string method_;
  std::string path_;
  std::string body_;
  // All message texts, one after the other, by which prefixes are found.
  std::string prompt_;
  bool stream_ = false;
  // May be executed more than once.
  bool idempotent_ = true;
  // Empty unless the request is an order.
  IdempotencyKey key_;
  Tokens prompt_tokens_;
  Tokens max_tokens_;  // zero if the caller sets none
  uint64_t digest_ = 0;

  bool is_order() const { return !key_.empty(); }
};

// Checks key, path, class, model and body.
// @return the request without id, or the error to answer with.
// Thread safety: safe.
Result<CallerRequest> ReadCallerRequest(const RawRequest& raw,
                                        const ConfigDocument& config);

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_CALLER_REQUEST_H_
