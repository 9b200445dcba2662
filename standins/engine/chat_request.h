// The body of POST /v1/chat/completions as the engine stand-in reads it.
#ifndef BERGAMOTSCALE_STANDINS_ENGINE_CHAT_REQUEST_H_
#define BERGAMOTSCALE_STANDINS_ENGINE_CHAT_REQUEST_H_

#include <string>

#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"
#include "src/emulator/engine_types.h"

namespace bergamotscale::standins {

struct ChatRequest {
  ModelId model_;
  std::string prompt_;
  bool stream_ = false;
  Tokens max_tokens_;  // zero for no bound
  int priority_ = 1;
  // What the caller has already: {"resume": {"text", "tokens"}}.
  std::string resume_text_;
  Tokens resume_tokens_;
};

// Parses the body; members that the stand-in doesn't know are ignored, as
// engines do. @return kMalformedBody with what was expected, also when the
// resumed text isn't the start of this prompt's answer. Thread safety: safe.
Result<ChatRequest> ParseChatRequest(const std::string& body);

// @return the request as the engine model takes it, without its id.
emulator::EngineRequest ToEngineRequest(const ChatRequest& request);

}  // namespace bergamotscale::standins

#endif  // BERGAMOTSCALE_STANDINS_ENGINE_CHAT_REQUEST_H_
