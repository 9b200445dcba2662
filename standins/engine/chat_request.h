// Parsing of POST /v1/chat/completions bodies for the engine stand-in.
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
  Tokens max_tokens_;  // zero for no limit
  int priority_ = 1;
  // The text that the caller already has: {"resume": {"text", "tokens"}}.
  std::string resume_text_;
  Tokens resume_tokens_;
};

// Parses the body. Unknown members are ignored, as engines do.
// @return kMalformedBody with a description, also if the resumed text is not
// the start of this prompt's response. Thread safety: safe.
Result<ChatRequest> ParseChatRequest(const std::string& body);

// @return the request in the engine model's format, without an id.
emulator::EngineRequest ToEngineRequest(const ChatRequest& request);

}  // namespace bergamotscale::standins

#endif  // BERGAMOTSCALE_STANDINS_ENGINE_CHAT_REQUEST_H_
