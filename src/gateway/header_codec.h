// What the gateway reads from and writes to HTTP headers. The platform
// implements the translation to its header names.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_HEADER_CODEC_H_
#define BERGAMOTSCALE_SRC_GATEWAY_HEADER_CODEC_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"
#include "src/route/route_table.h"
#include "src/web/caller_session.h"
#include "src/web/client_connection.h"

namespace bergamotscale::gateway {

// A part of a prompt. Requests whose prompts start with the same parts can
// share cached prefixes.
struct PromptPart {
  uint64_t id_ = 0;
  Tokens tokens_;
};

// Parts and sizes of a prompt, as its caller declared them. The last part
// belongs to this request alone.
struct PromptShape {
  std::vector<PromptPart> parts_;
  Tokens prompt_;
  Tokens max_output_;
};

// What the gateway reads from the headers of a caller's request.
struct RequestInfo {
  RequestId id_;
  // Time that the caller waits, from when it sent the request; zero if unknown.
  Millis patience_;
  std::string key_;
  PromptShape prompt_;
  // Id of the last event that the caller received of an earlier response; may
  // be empty.
  std::string last_event_id_;
  // The request that brought the first event of that response; may be empty.
  RequestId resumes_;
};

// Values that the gateway adds to the headers of a request to an upstream.
struct ForwardInfo {
  Millis time_left_;
  InstanceId upstream_;  // any other instance rejects the request
  std::optional<WorkspaceId> workspace_;
  route::UrgencyLevel urgency_;
  // The response continues after this event; empty for the whole response.
  std::string resume_after_;
};

// What the gateway reads from the headers of an upstream's response.
struct ResponseInfo {
  // Id of the answered request; empty if the upstream didn't state it.
  RequestId request_;
  // Whether the response carries the upstream's proof of origin. Without it,
  // the response is not used.
  bool is_authentic_ = false;
  // The upstream rejected the request and guarantees that it is not executed.
  bool not_executed_ = false;
  // An instance other than the intended one responded.
  bool wrong_instance_ = false;
  // The upstream drains and wants no further requests.
  bool is_leaving_ = false;
  // The upstream wants no requests from this gateway for so long; zero if it
  // did not say so.
  Millis pause_;
  // Whether the response tells which rate of requests the upstream takes. A
  // malformed value, or a response of another instance, tells nothing.
  bool tells_rate_ = false;
  // Requests a second that the upstream takes from all gateways together; none
  // if it takes any rate.
  std::optional<double> requests_per_second_;
};

// Translates between HTTP headers and the types above. Thread safety: the
// functions are called from the traffic thread.
struct HeaderCodec {
  std::function<RequestInfo(const web::IncomingRequest&)> decode_request_;
  // @return the headers to send to an upstream: the caller's headers without
  // API keys and system headers, plus the given values.
  std::function<web::HeaderList(const web::HeaderList&, const ForwardInfo&)>
      encode_headers_;
  std::function<ResponseInfo(const web::ResponseHead&)> decode_response_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_HEADER_CODEC_H_
