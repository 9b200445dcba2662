// Parses and validates requests of callers.
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

// A caller's request, validated against a configuration.
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
  // Concatenated texts of all messages, hashed to find cached prefixes.
  std::string prompt_;
  bool stream_ = false;
  // Whether the request may be executed more than once. False for orders.
  bool idempotent_ = true;
  // Empty unless the request is an order.
  IdempotencyKey key_;
  Tokens prompt_tokens_;
  Tokens max_tokens_;  // zero if the caller sets none
  // Identifies equal requests, to recognize one that crashes upstreams.
  uint64_t digest_ = 0;

  bool is_order() const { return !key_.empty(); }
};

// Checks workspace key, path, class, model and body.
// @return the request with an empty id_, or the error to report to the caller.
// Thread safety: safe.
Result<CallerRequest> ReadCallerRequest(const RawRequest& raw,
                                        const ConfigDocument& config);

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_CALLER_REQUEST_H_
