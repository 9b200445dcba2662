// What is said to an engine and what it answers: OpenAI-style chat
// completions as server-sent events, with priority and resume.
#ifndef BERGAMOTSCALE_SRC_SIDECAR_ENGINE_PROTOCOL_H_
#define BERGAMOTSCALE_SRC_SIDECAR_ENGINE_PROTOCOL_H_

#include <string>

#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"
#include "src/http/client.h"
#include "src/wire/messages.h"

namespace bergamotscale::sidecar {

// One event of an engine's stream.
struct EngineEvent {
  std::string text_;
  std::string finish_reason_;  // empty until the last event
  Tokens prompt_tokens_;
  Tokens output_tokens_;
  Tokens cached_tokens_;
  bool done_ = false;  // the end mark
};

// @return the call that makes an engine generate, always as a stream, or
// kMalformedBody if the body is no JSON object. Thread safety: safe.
Result<http::Call> EngineCallOf(const std::string& base_url,
                                const wire::Work& work,
                                Tier tier);

// @return the call that cancels the request of that id at an engine.
http::Call EngineCancelOf(const std::string& base_url, const RequestId& id);

// @return the event in the data of a server-sent event, or kProtocolError.
// Thread safety: safe.
Result<EngineEvent> ParseEngineEvent(const std::string& data);

// @return the call of a plain service. Thread safety: safe.
http::Call ServiceCallOf(const std::string& base_url, const wire::Work& work);

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_ENGINE_PROTOCOL_H_
