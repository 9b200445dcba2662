#include "src/sidecar/engine_protocol.h"

#include <nlohmann/json.hpp>

namespace bergamotscale::sidecar {
namespace {

using nlohmann::json;

constexpr char kEndMark[] = "[DONE]";

void AddRequestHeaders(const wire::Work& work, http::Call* call) {
  call->headers_.push_back({"X-Request-Id", work.request_id_.value()});
  if (!work.key_.empty()) {
    call->headers_.push_back({"Idempotency-Key", work.key_.value()});
  }
}

void ReadChoice(const json& choice, EngineEvent* event) {
  const json& finish = choice.at("finish_reason");
  if (finish.is_string()) {
    event->finish_reason_ = finish.get<std::string>();
  }
  const json& delta = choice.at("delta");
  if (delta.contains("content") && delta["content"].is_string()) {
    event->text_ = delta["content"].get<std::string>();
  }
}

void ReadUsage(const json& usage, EngineEvent* event) {
  event->prompt_tokens_ = Tokens(usage.value("prompt_tokens", int64_t{0}));
  event->output_tokens_ = Tokens(usage.value("completion_tokens", int64_t{0}));
  const auto details = usage.find("prompt_tokens_details");
  if (details != usage.end() && details->is_object()) {
    event->cached_tokens_ = Tokens(details->value("cached_tokens", int64_t{0}));
  }
}

}  // namespace

Result<http::Call> MakeEngineCall(const std::string& base_url,
                                  const wire::Work& work,
                                  Tier tier) {
  json body = json::parse(work.body_, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object()) {
    return Error(ErrorCode::kMalformedBody, "expected a JSON object");
  }
  body["stream"] = true;
  body["priority"] = tier.value();
  if (work.resume_tokens_ > Tokens(0)) {
    body["resume"] = {{"text", work.resume_text_},
                      {"tokens", work.resume_tokens_.count()}};
  }
  http::Call call;
  call.method_ = "POST";
  call.url_ = base_url + "/v1/chat/completions";
  call.body_ = body.dump();
  AddRequestHeaders(work, &call);
  return call;
}

http::Call MakeEngineCancelCall(const std::string& base_url,
                                const RequestId& id) {
  http::Call call;
  call.method_ = "POST";
  call.url_ = base_url + "/v1/cancel";
  call.body_ = json{{"id", id.value()}}.dump();
  return call;
}

Result<EngineEvent> ParseEngineEvent(const std::string& data) {
  EngineEvent event;
  if (data == kEndMark) {
    event.done_ = true;
    return event;
  }
  try {
    const json chunk = json::parse(data);
    const json& choices = chunk.at("choices");
    if (!choices.empty()) {
      ReadChoice(choices.at(0), &event);
    }
    if (chunk.contains("usage") && chunk["usage"].is_object()) {
      ReadUsage(chunk["usage"], &event);
    }
    return event;
  } catch (const json::exception& failure) {
    return Error(ErrorCode::kProtocolError, failure.what());
  }
}

http::Call MakeServiceCall(const std::string& base_url,
                           const wire::Work& work) {
  http::Call call;
  call.method_ = work.method_;
  call.url_ = base_url + work.path_;
  call.body_ = work.body_;
  AddRequestHeaders(work, &call);
  return call;
}

}  // namespace bergamotscale::sidecar
