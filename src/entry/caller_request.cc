#include "src/entry/caller_request.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "src/config/key_hash.h"
#include "src/policy/prefix_hasher.h"

namespace bergamotscale::entry {
namespace {

constexpr char kBearer[] = "Bearer ";
constexpr size_t kMaxKeyLength = 255;
constexpr int64_t kBytesPerToken = 4;
constexpr int64_t kMaxTokensLimit = 1'000'000;

Result<const Workspace*> FindCaller(const RawRequest& raw,
                                    const ConfigDocument& config) {
  const std::string bearer = kBearer;
  if (raw.authorization_.compare(0, bearer.size(), bearer) != 0) {
    return ErrorCode::kUnauthorized;
  }
  const std::string key = raw.authorization_.substr(bearer.size());
  const Workspace* workspace =
      config.FindWorkspaceByKeyHash(config::HashWorkspaceKey(key));
  if (workspace == nullptr) {
    return ErrorCode::kUnauthorized;
  }
  return workspace;
}

Result<const ServiceClass*> FindAllowedClass(const ClassId& name,
                                             const Workspace& workspace,
                                             const ConfigDocument& config) {
  const auto& allowed = workspace.classes_;
  const ServiceClass* found = config.FindClass(name);
  if (found == nullptr ||
      std::find(allowed.begin(), allowed.end(), name) == allowed.end()) {
    return Error(ErrorCode::kUnknownClass, name.value());
  }
  return found;
}

ClassId ChosenClass(const RawRequest& raw, const Workspace& workspace) {
  if (!raw.service_class_.empty()) {
    return ClassId(raw.service_class_);
  }
  return workspace.classes_.empty() ? ClassId() : workspace.classes_.front();
}

Status ReadKey(const RawRequest& raw, CallerRequest* request) {
  if (raw.idempotency_key_.size() > kMaxKeyLength) {
    return Error(ErrorCode::kMalformedBody,
                 "Idempotency-Key: expected at most 255 characters");
  }
  request->key_ = IdempotencyKey(raw.idempotency_key_);
  return Done{};
}

// Appends the text of one message; content is a string or an array of parts.
Status AppendContent(const nlohmann::json& message, std::string* prompt) {
  const auto content = message.find("content");
  if (content == message.end()) {
    return Error(ErrorCode::kMalformedBody, "messages: expected content");
  }
  if (content->is_string()) {
    *prompt += content->get<std::string>();
    return Done{};
  }
  if (!content->is_array()) {
    return Error(ErrorCode::kMalformedBody,
                 "messages: expected content to be a string or an array");
  }
  for (const nlohmann::json& part : *content) {
    const bool has_text =
        part.is_object() && part.contains("text") && part["text"].is_string();
    if (has_text) {
      *prompt += part["text"].get<std::string>();
    }
  }
  return Done{};
}

Status ReadPrompt(const nlohmann::json& body, CallerRequest* request) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return Error(ErrorCode::kMalformedBody,
                 "messages: expected an array with a message");
  }
  for (const nlohmann::json& message : *messages) {
    if (!message.is_object()) {
      return Error(ErrorCode::kMalformedBody, "messages: expected objects");
    }
    Status appended = AppendContent(message, &request->prompt_);
    if (!appended.ok()) {
      return appended;
    }
  }
  request->prompt_tokens_ = Tokens(
      static_cast<int64_t>(request->prompt_.size()) / kBytesPerToken + 1);
  return Done{};
}

Status ReadStreamFlag(const nlohmann::json& body, CallerRequest* request) {
  const auto stream = body.find("stream");
  if (stream == body.end()) {
    return Done{};
  }
  if (!stream->is_boolean()) {
    return Error(ErrorCode::kMalformedBody, "stream: expected true or false");
  }
  request->stream_ = stream->get<bool>();
  return Done{};
}

Status ReadMaxTokens(const nlohmann::json& body, CallerRequest* request) {
  const auto max_tokens = body.find("max_tokens");
  if (max_tokens == body.end()) {
    return Done{};
  }
  const bool valid = max_tokens->is_number_unsigned() &&
                     max_tokens->get<uint64_t>() >= 1 &&
                     max_tokens->get<uint64_t>() <= kMaxTokensLimit;
  if (!valid) {
    return Error(ErrorCode::kMalformedBody,
                 "max_tokens: expected an integer from 1 to 1000000");
  }
  request->max_tokens_ = Tokens(max_tokens->get<int64_t>());
  return Done{};
}

Status ReadModel(const nlohmann::json& body,
                 const ConfigDocument& config,
                 CallerRequest* request) {
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return Error(ErrorCode::kMalformedBody, "model: expected a string");
  }
  request->model_ = ModelId(model->get<std::string>());
  const Model* found = config.FindModel(request->model_);
  if (found == nullptr) {
    return Error(ErrorCode::kUnknownModel, request->model_.value());
  }
  request->group_ = found->group_;
  return Done{};
}

Status ReadChatBody(const RawRequest& raw,
                    const ConfigDocument& config,
                    CallerRequest* request) {
  const nlohmann::json body = nlohmann::json::parse(raw.body_, nullptr, false);
  if (!body.is_object()) {
    return Error(ErrorCode::kMalformedBody, "expected a JSON object");
  }
  Status status = ReadModel(body, config, request);
  if (status.ok()) {
    status = ReadPrompt(body, request);
  }
  if (status.ok()) {
    status = ReadStreamFlag(body, request);
  }
  if (status.ok()) {
    status = ReadMaxTokens(body, request);
  }
  return status;
}

Result<CallerRequest> ReadChat(const RawRequest& raw,
                               const Workspace& workspace,
                               const ConfigDocument& config,
                               CallerRequest request) {
  const Result<const ServiceClass*> service_class =
      FindAllowedClass(ChosenClass(raw, workspace), workspace, config);
  if (!service_class.ok()) {
    return service_class.error();
  }
  request.class_ = *service_class.value();
  Status read = ReadChatBody(raw, config, &request);
  if (!read.ok()) {
    return read.error();
  }
  request.kind_ = GroupKind::kEngine;
  request.digest_ = policy::ComputeDigest(raw.path_, raw.body_);
  request.idempotent_ = request.class_.idempotent_ && !request.is_order();
  return request;
}

// Bodies of service calls are often equal, so the digest includes the workspace
// and the idempotency key: a crash under one key must not block another order.
uint64_t DigestOfCall(const CallerRequest& request) {
  const std::string name = request.path_ + "\n" + request.workspace_.value() +
                           "\n" + request.key_.value();
  return policy::ComputeDigest(name, request.body_);
}

Result<CallerRequest> ReadServiceCall(const ServiceRoute& route,
                                      const Workspace& workspace,
                                      const ConfigDocument& config,
                                      CallerRequest request) {
  const Result<const ServiceClass*> service_class =
      FindAllowedClass(route.class_, workspace, config);
  if (!service_class.ok()) {
    return service_class.error();
  }
  if (!route.idempotent_ && !request.is_order()) {
    return ErrorCode::kMissingIdempotencyKey;
  }
  request.class_ = *service_class.value();
  request.group_ = route.group_;
  request.kind_ = GroupKind::kService;
  request.digest_ = DigestOfCall(request);
  request.idempotent_ = route.idempotent_ && !request.is_order();
  return request;
}

}  // namespace

Result<CallerRequest> ReadCallerRequest(const RawRequest& raw,
                                        const ConfigDocument& config) {
  const bool is_chat = raw.path_ == kChatPath;
  const ServiceRoute* route = config.FindService(raw.path_);
  if (raw.method_ != "POST" || (!is_chat && route == nullptr)) {
    return ErrorCode::kUnknownPath;
  }
  const Result<const Workspace*> workspace = FindCaller(raw, config);
  if (!workspace.ok()) {
    return workspace.error();
  }
  CallerRequest request;
  request.workspace_ = workspace.value()->name_;
  request.method_ = raw.method_;
  request.path_ = raw.path_;
  request.body_ = raw.body_;
  Status key = ReadKey(raw, &request);
  if (!key.ok()) {
    return key.error();
  }
  if (is_chat) {
    return ReadChat(raw, *workspace.value(), config, std::move(request));
  }
  return ReadServiceCall(*route, *workspace.value(), config,
                         std::move(request));
}

}  // namespace bergamotscale::entry
