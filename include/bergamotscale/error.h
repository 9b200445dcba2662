// Error codes, with their names, messages and HTTP statuses.
#ifndef BERGAMOTSCALE_ERROR_H_
#define BERGAMOTSCALE_ERROR_H_

#include <string>
#include <system_error>

#include <msgpack.hpp>

namespace bergamotscale {

// Encoded by number in messages between processes. ErrorName() gives the name
// used everywhere else.
enum class ErrorCode {
  kOk = 0,
  // Errors of the caller.
  kMalformedBody,
  kBodyTooLarge,
  kHeadersTooLarge,
  kCallerTooSlow,
  kUnauthorized,
  kUnknownModel,
  kUnknownClass,
  kUnknownPath,
  kMissingIdempotencyKey,
  kKeyReusedForOtherBody,
  kKeyExpired,
  // Rejections because of load or state.
  kRateLimited,
  kOverloaded,
  kDeadlineUnreachable,
  kDeadlineExceeded,
  kQuarantined,
  kNoUpstream,
  kLeaving,
  kNotConfigured,
  // Failures of upstreams, links and the platform.
  kUpstreamFailed,
  kUpstreamUnreachable,
  kLinkClosed,
  kLinkTimeout,
  kProtocolError,
  kLogUnavailable,
  kLogOutcomeUnknown,
  kRecordsExpired,
  kClaimedElsewhere,
  kCancelled,
  // Errors of operators.
  kInvalidSettings,
  kInvalidConfig,
  kConfigConflict,
  kStaleFence,
  kNotFound,
  kInternal,
};

// @return the stable name used in JSON and logs, such as "rate_limited".
// Lifetime: static.
const char* ErrorName(ErrorCode code);

// @return the code with the given stable name, or kInternal if there is none.
ErrorCode ErrorFromName(const std::string& name);

// @return the HTTP status of the response with which an entry reports the code.
int HttpStatusOf(ErrorCode code);

// @return the std::error_category of ErrorCode. Lifetime: static.
const std::error_category& BergamotCategory();

// Makes ErrorCode convert to std::error_code.
std::error_code make_error_code(ErrorCode code);  // NOLINT: std customization

}  // namespace bergamotscale

namespace std {
template <>
struct is_error_code_enum<bergamotscale::ErrorCode> : true_type {};
}  // namespace std

MSGPACK_ADD_ENUM(bergamotscale::ErrorCode)

#endif  // BERGAMOTSCALE_ERROR_H_
