#include "standins/engine/chat_request.h"

#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "src/emulator/answer.h"

namespace bergamotscale::standins {
namespace {

using nlohmann::json;

Error Malformed(const std::string& expected) {
  return Error(ErrorCode::kMalformedBody, expected);
}

bool ReadInteger(const json& body, const char* key, int64_t* target) {
  const auto found = body.find(key);
  if (found == body.end()) {
    return true;
  }
  if (!found->is_number_integer() || found->get<int64_t>() < 0) {
    return false;
  }
  *target = found->get<int64_t>();
  return true;
}

Result<std::string> ReadPrompt(const json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return Malformed("messages: expected a list of messages");
  }
  std::vector<emulator::ChatMessage> read;
  for (const json& message : *messages) {
    if (!message.is_object() || !message.contains("content") ||
        !message["content"].is_string()) {
      return Malformed("messages: expected role and content of each");
    }
    const json role = message.value("role", json("user"));
    if (!role.is_string()) {
      return Malformed("messages: expected a string as role");
    }
    read.push_back(emulator::ChatMessage{
        role.get<std::string>(), message["content"].get<std::string>()});
  }
  return emulator::JoinMessages(read);
}

Status ReadResume(const json& body, ChatRequest* request) {
  const auto resume = body.find("resume");
  if (resume == body.end() || resume->is_null()) {
    return Done{};
  }
  int64_t tokens = 0;
  if (!resume->is_object() || !resume->contains("text") ||
      !(*resume)["text"].is_string() ||
      !ReadInteger(*resume, "tokens", &tokens)) {
    return Malformed("resume: expected text and tokens");
  }
  request->resume_text_ = (*resume)["text"].get<std::string>();
  request->resume_tokens_ = Tokens(tokens);
  const Tokens length = emulator::AnswerLength(
      request->model_, request->prompt_, request->max_tokens_);
  const std::string start =
      request->resume_tokens_ > length
          ? std::string()
          : emulator::AnswerStart(request->model_, request->prompt_, tokens);
  if (request->resume_tokens_ > length || start != request->resume_text_) {
    return Malformed("resume: expected the start of this prompt's answer");
  }
  return Done{};
}

}  // namespace

Result<ChatRequest> ParseChatRequest(const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object()) {
    return Malformed("expected a JSON object");
  }
  ChatRequest request;
  const json model = parsed.value("model", json());
  if (!model.is_string()) {
    return Malformed("model: expected a string");
  }
  request.model_ = ModelId(model.get<std::string>());
  const json stream = parsed.value("stream", json(false));
  if (!stream.is_boolean()) {
    return Malformed("stream: expected true or false");
  }
  request.stream_ = stream.get<bool>();
  int64_t max_tokens = 0;
  int64_t priority = 1;
  if (!ReadInteger(parsed, "max_tokens", &max_tokens) ||
      !ReadInteger(parsed, "priority", &priority)) {
    return Malformed("max_tokens, priority: expected integers");
  }
  request.max_tokens_ = Tokens(max_tokens);
  request.priority_ = static_cast<int>(priority);
  Result<std::string> prompt = ReadPrompt(parsed);
  if (!prompt.ok()) {
    return prompt.error();
  }
  request.prompt_ = std::move(prompt).value();
  const Status resume = ReadResume(parsed, &request);
  if (!resume.ok()) {
    return resume.error();
  }
  return request;
}

emulator::EngineRequest ToEngineRequest(const ChatRequest& request) {
  emulator::EngineRequest result;
  result.priority_ = request.priority_;
  result.prompt_tokens_ = emulator::CountPromptTokens(request.prompt_);
  result.prefix_hashes_ =
      emulator::HashPrefixBlocks(request.model_, request.prompt_);
  result.prompt_digest_ =
      emulator::PromptDigest(request.model_, request.prompt_);
  result.output_tokens_ = emulator::AnswerLength(
      request.model_, request.prompt_, request.max_tokens_);
  result.done_ = request.resume_tokens_;
  result.crashes_engine_ = emulator::HasCrashMarker(request.prompt_);
  return result;
}

}  // namespace bergamotscale::standins
