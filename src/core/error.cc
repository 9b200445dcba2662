#include "bergamotscale/error.h"

#include <array>

namespace bergamotscale {
namespace {

struct ErrorRow {
  ErrorCode code_;
  const char* name_;
  int http_status_;
  const char* message_;
};

constexpr ErrorRow kErrorTable[] = {
    {ErrorCode::kOk, "ok", 200, "no error"},
    {ErrorCode::kMalformedBody, "malformed_body", 400,
     "the body is not a valid request"},
    {ErrorCode::kBodyTooLarge, "body_too_large", 413,
     "the body exceeds the limit"},
    {ErrorCode::kHeadersTooLarge, "headers_too_large", 431,
     "the headers exceed the limit"},
    {ErrorCode::kCallerTooSlow, "caller_too_slow", 408,
     "the request did not arrive in time"},
    {ErrorCode::kUnauthorized, "unauthorized", 401,
     "the workspace key is missing or unknown"},
    {ErrorCode::kUnknownModel, "unknown_model", 404,
     "the model is not configured"},
    {ErrorCode::kUnknownClass, "unknown_class", 400,
     "the service class is not configured for this workspace"},
    {ErrorCode::kUnknownPath, "unknown_path", 404, "no route has this path"},
    {ErrorCode::kMissingIdempotencyKey, "missing_idempotency_key", 400,
     "this call needs an Idempotency-Key header"},
    {ErrorCode::kKeyReusedForOtherBody, "key_reused_for_other_body", 422,
     "the Idempotency-Key was used with another body"},
    {ErrorCode::kKeyExpired, "key_expired", 409,
     "the Idempotency-Key is older than the horizon"},
    {ErrorCode::kRateLimited, "rate_limited", 429,
     "the workspace exceeds its share"},
    {ErrorCode::kOverloaded, "overloaded", 503,
     "capacity is taken by requests of this or a higher tier"},
    {ErrorCode::kDeadlineUnreachable, "deadline_unreachable", 503,
     "the deadline can't be met"},
    {ErrorCode::kDeadlineExceeded, "deadline_exceeded", 504,
     "the deadline passed"},
    {ErrorCode::kQuarantined, "quarantined", 422,
     "the request crashes upstreams and is not run again"},
    {ErrorCode::kNoUpstream, "no_upstream", 503,
     "no upstream can take the request"},
    {ErrorCode::kLeaving, "leaving", 503, "the instance is leaving"},
    {ErrorCode::kNotConfigured, "not_configured", 503,
     "no configuration is in force yet"},
    {ErrorCode::kUpstreamFailed, "upstream_failed", 502,
     "the upstream failed while it ran the request"},
    {ErrorCode::kUpstreamUnreachable, "upstream_unreachable", 502,
     "the upstream can't be reached"},
    {ErrorCode::kLinkClosed, "link_closed", 502,
     "the connection between instances closed"},
    {ErrorCode::kLinkTimeout, "link_silent", 502,
     "the connection between instances missed its heartbeat"},
    {ErrorCode::kProtocolError, "protocol_error", 502,
     "a peer broke the protocol"},
    {ErrorCode::kLogUnavailable, "log_unavailable", 503,
     "the log service can't be reached"},
    {ErrorCode::kLogOutcomeUnknown, "log_outcome_unknown", 503,
     "the log service did not confirm the append"},
    {ErrorCode::kRecordsExpired, "records_expired", 500,
     "the log service no longer keeps these records"},
    {ErrorCode::kClaimedElsewhere, "claimed_elsewhere", 409,
     "another attempt owns this order"},
    {ErrorCode::kCancelled, "cancelled", 499, "the caller left"},
    {ErrorCode::kInvalidSettings, "invalid_settings", 500,
     "the settings are invalid"},
    {ErrorCode::kInvalidConfig, "invalid_config", 400,
     "the configuration document is invalid"},
    {ErrorCode::kConfigConflict, "config_conflict", 409,
     "the document was edited from an older revision"},
    {ErrorCode::kStaleFence, "stale_fence", 409,
     "the order carries an old fencing number"},
    {ErrorCode::kNotFound, "not_found", 404, "there is no such thing"},
    {ErrorCode::kInternal, "internal", 500, "internal error"},
};

const ErrorRow& RowOf(ErrorCode code) {
  for (const ErrorRow& row : kErrorTable) {
    if (row.code_ == code) {
      return row;
    }
  }
  return kErrorTable[std::size(kErrorTable) - 1];
}

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "bergamotscale"; }
  std::string message(int value) const override {
    return RowOf(static_cast<ErrorCode>(value)).message_;
  }
};

}  // namespace

const char* ErrorName(ErrorCode code) {
  return RowOf(code).name_;
}

ErrorCode ErrorFromName(const std::string& name) {
  for (const ErrorRow& row : kErrorTable) {
    if (name == row.name_) {
      return row.code_;
    }
  }
  return ErrorCode::kInternal;
}

int HttpStatusOf(ErrorCode code) {
  return RowOf(code).http_status_;
}

const std::error_category& BergamotCategory() {
  static const Category kCategory;
  return kCategory;
}

std::error_code make_error_code(ErrorCode code) {  // NOLINT
  return {static_cast<int>(code), BergamotCategory()};
}

}  // namespace bergamotscale
