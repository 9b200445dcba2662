// Requests to engines and parsing of their responses: OpenAI-style chat
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

// One event of an engine's response stream.
struct EngineEvent {
  std::string text_;
  std::string finish_reason_;  // empty until the last event
  Tokens prompt_tokens_;
  Tokens output_tokens_;
  Tokens cached_tokens_;
  bool done_ = false;  // whether this is the end-of-stream marker
};

// @return a streaming chat completion call, or kMalformedBody if the body is
// not a JSON object. Thread safety: safe.
Result<http::Call> MakeEngineCall(const std::string& base_url,
                                  const wire::Work& work,
                                  Tier tier);

// @return the call that cancels a request at an engine.
http::Call MakeEngineCancelCall(const std::string& base_url,
                                const RequestId& id);

// @param data the data field of one server-sent event.
// @return the parsed event, or kProtocolError.
// Thread safety: safe.
Result<EngineEvent> ParseEngineEvent(const std::string& data);

// @return the call to a plain service. Thread safety: safe.
http::Call MakeServiceCall(const std::string& base_url, const wire::Work& work);

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_ENGINE_PROTOCOL_H_
