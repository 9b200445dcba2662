// Tests the validation of callers' requests: each kind of fault has its own
// error.
#include <string>

#include <doctest/doctest.h>

#include "src/config/key_hash.h"
#include "src/entry/caller_request.h"

namespace bergamotscale::entry {
namespace {

constexpr char kKey[] = "test-key";

ConfigDocument TestConfig() {
  ConfigDocument config;
  ServiceClass quick;
  quick.name_ = ClassId("quick");
  ServiceClass bulk;
  bulk.name_ = ClassId("bulk");
  bulk.tier_ = Tier(3);
  ServiceClass order;
  order.name_ = ClassId("order");
  order.idempotent_ = false;
  config.classes_ = {quick, bulk, order};
  Workspace workspace;
  workspace.name_ = WorkspaceId("agency");
  workspace.key_hashes_ = {config::HashWorkspaceKey(kKey)};
  workspace.classes_ = {ClassId("quick"), ClassId("order")};
  config.workspaces_ = {workspace};
  config.models_ = {Model{ModelId("keywords"), GroupId("engines")}};
  config.services_ = {
      ServiceRoute{"/v1/orders", GroupId("plain"), ClassId("order"), false}};
  return config;
}

RawRequest ChatRequest() {
  RawRequest raw;
  raw.method_ = "POST";
  raw.path_ = kChatPath;
  raw.authorization_ = std::string("Bearer ") + kKey;
  raw.body_ = R"({"model":"keywords","stream":true,)"
              R"("messages":[{"role":"user","content":"a photo of rain"}]})";
  return raw;
}

ErrorCode CodeOf(const RawRequest& raw) {
  const Result<CallerRequest> read = ReadCallerRequest(raw, TestConfig());
  return read.ok() ? ErrorCode::kOk : read.error().code_;
}

TEST_CASE("caller request: a chat takes the workspace's default class") {
  const Result<CallerRequest> read =
      ReadCallerRequest(ChatRequest(), TestConfig());
  REQUIRE(read.ok());
  CHECK(read.value().class_.name_ == ClassId("quick"));
  CHECK(read.value().group_ == GroupId("engines"));
  CHECK(read.value().prompt_ == "a photo of rain");
  CHECK(read.value().stream_);
  CHECK(read.value().idempotent_);
}

uint64_t DigestOf(const RawRequest& raw) {
  const Result<CallerRequest> read = ReadCallerRequest(raw, TestConfig());
  REQUIRE(read.ok());
  return read.value().digest_;
}

// With equal digests, a crash of one order would block the other in quarantine.
TEST_CASE("caller request: equal bodies under two keys are two orders") {
  RawRequest raw;
  raw.method_ = "POST";
  raw.path_ = "/v1/orders";
  raw.authorization_ = std::string("Bearer ") + kKey;
  raw.body_ = R"({"cut": 1})";
  raw.idempotency_key_ = "k-1";
  RawRequest other = raw;
  other.idempotency_key_ = "k-2";
  CHECK(DigestOf(raw) == DigestOf(raw));
  CHECK(DigestOf(raw) != DigestOf(other));
}

// The prompt alone decides whether an engine crashes, not the idempotency key.
TEST_CASE("caller request: equal chats have one digest under any key") {
  RawRequest keyed = ChatRequest();
  keyed.idempotency_key_ = "k-1";
  CHECK(DigestOf(ChatRequest()) == DigestOf(keyed));
}

TEST_CASE("caller request: an idempotency key turns a chat into an order") {
  RawRequest raw = ChatRequest();
  raw.idempotency_key_ = "k-1";
  const Result<CallerRequest> read = ReadCallerRequest(raw, TestConfig());
  REQUIRE(read.ok());
  CHECK(read.value().is_order());
  CHECK(!read.value().idempotent_);
}

TEST_CASE("caller request: each fault has its own error") {
  RawRequest raw = ChatRequest();
  raw.authorization_ = "Bearer wrong";
  CHECK(CodeOf(raw) == ErrorCode::kUnauthorized);
  raw = ChatRequest();
  raw.authorization_.clear();
  CHECK(CodeOf(raw) == ErrorCode::kUnauthorized);
  raw = ChatRequest();
  raw.service_class_ = "bulk";  // exists, but not for this workspace
  CHECK(CodeOf(raw) == ErrorCode::kUnknownClass);
  raw = ChatRequest();
  raw.path_ = "/v1/other";
  CHECK(CodeOf(raw) == ErrorCode::kUnknownPath);
  raw = ChatRequest();
  raw.method_ = "GET";
  CHECK(CodeOf(raw) == ErrorCode::kUnknownPath);
  raw = ChatRequest();
  raw.body_ = R"({"model":"other","messages":[{"content":"x"}]})";
  CHECK(CodeOf(raw) == ErrorCode::kUnknownModel);
}

TEST_CASE("caller request: malformed bodies are refused") {
  const char* bodies[] = {
      "",
      "{",
      "[]",
      R"({"model":1,"messages":[{"content":"x"}]})",
      R"({"model":"keywords"})",
      R"({"model":"keywords","messages":[]})",
      R"({"model":"keywords","messages":["x"]})",
      R"({"model":"keywords","messages":[{"content":5}]})",
      R"({"model":"keywords","messages":[{"content":"x"}],"stream":"y"})",
      R"({"model":"keywords","messages":[{"content":"x"}],"max_tokens":0})",
  };
  for (const char* body : bodies) {
    RawRequest raw = ChatRequest();
    raw.body_ = body;
    CAPTURE(body);
    CHECK(CodeOf(raw) == ErrorCode::kMalformedBody);
  }
}

TEST_CASE("caller request: a service call that isn't idempotent needs a key") {
  RawRequest raw = ChatRequest();
  raw.path_ = "/v1/orders";
  raw.body_ = "anything";
  CHECK(CodeOf(raw) == ErrorCode::kMissingIdempotencyKey);
  raw.idempotency_key_ = "k-1";
  CHECK(CodeOf(raw) == ErrorCode::kOk);
  raw.idempotency_key_ = std::string(256, 'k');
  CHECK(CodeOf(raw) == ErrorCode::kMalformedBody);
}

}  // namespace
}  // namespace bergamotscale::entry
