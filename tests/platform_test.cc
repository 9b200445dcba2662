// Tests the decoding of the platform's documents and headers.
#include <doctest/doctest.h>

#include "platform/decoders.h"
#include "platform/header_codec.h"

namespace bergamotscale::platform {
namespace {

constexpr char kConfig[] = R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","path_prefix":"/x/","kind":"streaming",
   "timeout_ms":8000,"target_latency_ms":1000,"priority":2,
   "weighted_backends":[{"service":"s1","weight":90},
                        {"service":"s2","weight":10}],
   "max_attempts":1,"public":false,"sticky":true,"resumable":false,
   "gap_aim_ms":600},
  {"name":"r2","host":"a.example","path_prefix":"/y/","kind":"safe",
   "timeout_ms":1500.0,"service":"s2","max_attempts":2,"public":true}],
 "services":[{"name":"s1","max_conns":620,
              "engine":{"slots":128,"kv_capacity":1150253}},
             {"name":"s2","max_conns":100}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
           "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1}]})";

TEST_CASE("platform: the operator's configuration is decoded") {
  const auto read = DecodeConfig(kConfig);
  REQUIRE(read.ok());
  const route::RouteTable::Content& content = read.value();
  CHECK(content.version_ == 7);
  REQUIRE(content.routes_.size() == 2);
  CHECK(content.routes_[0].kind_ == route::CallKind::kStream);
  CHECK_FALSE(content.routes_[0].is_retryable());
  CHECK(content.routes_[0].groups_.size() == 2);
  CHECK(content.routes_[0].gap_target_ == Millis(600));
  CHECK(content.routes_[1].is_retryable());
  CHECK(content.routes_[1].timeout_ == Millis(1'500));
  CHECK_FALSE(content.routes_[1].needs_key_);
  CHECK(content.services_[0].kv_capacity_ == Tokens(1'150'253));
  CHECK(content.services_[1].kv_capacity_ == Tokens(0));
  CHECK(content.has_workspaces_);
  CHECK(content.workspaces_[0].owner_.priority_ == 1);
  CHECK(content.limits_.idle_timeout_ == Millis(15'000));
}

TEST_CASE("platform: a configuration that can't be read is an error") {
  CHECK_FALSE(DecodeConfig("").ok());
  CHECK_FALSE(DecodeConfig("[]").ok());
  CHECK_FALSE(DecodeConfig(R"({"version":"x"})").ok());
  CHECK_FALSE(
      DecodeConfig(R"({"version":1,"routes":[{"host":5}],"services":[]})")
          .ok());
}

TEST_CASE("platform: a request of an unknown kind is never retried") {
  const auto read = DecodeConfig(
      R"({"version":1,"services":[],"routes":[{"name":"r","host":"h",
          "path_prefix":"/","kind":"other","service":"s"}]})");
  REQUIRE(read.ok());
  CHECK_FALSE(read.value().routes_[0].is_retryable());
  CHECK_FALSE(read.value().has_workspaces_);
}

TEST_CASE("platform: an upstream's entry is decoded") {
  const auto read = DecodeUpstream(
      "i-1",
      R"({"service":"s","address":"10.0.0.9:8080","zone":"a","version":"v1",
          "slots":128,"state":"draining","seq":4,"born":1700000000123})");
  REQUIRE(read.ok());
  CHECK(read.value().ip_ == "10.0.0.9");
  CHECK(read.value().port_ == 8080);
  CHECK(read.value().draining_);
  CHECK(read.value().started_at_ == 1'700'000'000'123);
}

TEST_CASE("platform: malformed upstream entries are rejected") {
  const char* faulty[] = {
      "",
      "{}",
      "\xff\xfe",
      R"({"service":"s","address":"10.0.0.9","slots":1,"state":"ready"})",
      R"({"service":"s","address":"10.0.0.9:0","slots":1,"state":"ready"})",
      R"({"service":"s","address":"10.0.0.9:80","slots":"1","state":"ready"})",
      R"({"service":"s","address":"10.0.0.9:80","slots":1,"state":"odd"})",
      R"({"service":7,"address":"10.0.0.9:80","slots":1,"state":"ready"})",
  };
  for (const char* text : faulty) {
    CAPTURE(text);
    CHECK_FALSE(DecodeUpstream("i-1", text).ok());
  }
}

TEST_CASE("platform: a page of the newest records is decoded") {
  const auto read = DecodeNewest(
      R"({"items":[{"key":"config","value":"e30=","offset":4}],
          "has_more":true,"end":6})");
  REQUIRE(read.ok());
  CHECK(read.value().records_[0].value_ == "{}");
  CHECK(read.value().records_[0].offset_ == LogOffset(4));
  CHECK(read.value().has_more_);
  CHECK(read.value().end_ == LogOffset(6));
  CHECK_FALSE(DecodeNewest("{}").ok());
  CHECK_FALSE(DecodeNewest(
                  R"({"items":[{"key":"k","value":"e30","offset":4}],"end":6})")
                  .ok());
}

TEST_CASE(
    "platform: records are decoded, and one without a value removes a key") {
  std::string bytes(16, '\0');
  bytes += std::string("\0\0\0\x05\x02", 5) + "abXY";
  bytes += std::string("\0\0\0\x03\x02", 5) + "cd";
  const auto read = DecodeTail(LogOffset(840), bytes);
  REQUIRE(read.ok());
  REQUIRE(read.value().records_.size() == 2);
  CHECK(read.value().records_[0].key_ == "ab");
  CHECK(read.value().records_[0].value_ == "XY");
  CHECK(read.value().records_[1].key_ == "cd");
  CHECK_FALSE(read.value().records_[1].value_.has_value());
  CHECK(read.value().records_[1].offset_ == LogOffset(841));
  CHECK(read.value().next_ == LogOffset(842));
  CHECK_FALSE(DecodeTail(LogOffset(0), bytes.substr(0, 20)).ok());
  CHECK_FALSE(DecodeTail(LogOffset(0), "short").ok());
}

TEST_CASE(
    "platform: headers that only the system sets are removed from requests") {
  const gateway::HeaderCodec header_codec = MakeHeaderCodec();
  web::HeaderList headers;
  headers.Add("X-Bergamotscale-Request-Id", "r1");
  headers.Add("x-bergamotscale-key", "secret");
  headers.Add("X-BERGAMOTSCALE-TENANT", "other");
  headers.Add("X-Bergamotscale-Hold", "h");
  headers.Add("X-Bergamotscale-Pin-Ms", "1");
  headers.Add("X-Bergamotscale-Kv-Backup", "10.0.0.1:1");
  headers.Add("Kv-From", "10.0.0.1:1/x");
  headers.Add("X-Bergamotscale-Request-Urgency", "0");
  headers.Add("X-Bergamotscale-Deadline-Ms", "9000");
  headers.Add("X-Bergamotscale-Prefix-Hash", "aa:1,bb:2");
  gateway::ForwardInfo info;
  info.time_left_ = Millis(8'000);
  info.upstream_ = InstanceId("i-1");
  info.workspace_ = WorkspaceId("mine");
  info.priority_ = 12;
  const web::HeaderList sent = header_codec.encode_headers_(headers, info);
  CHECK(sent.Find("X-Bergamotscale-Request-Id") == "r1");
  CHECK(sent.Find("X-Bergamotscale-Prefix-Hash") == "aa:1,bb:2");
  CHECK(sent.Find("X-Bergamotscale-Tenant") == "mine");
  CHECK(sent.Find("X-Bergamotscale-Request-Urgency") == "9");
  CHECK(sent.Find("X-Bergamotscale-Deadline-Ms") == "8000");
  CHECK(sent.Find("X-Bergamotscale-Expect-Instance") == "i-1");
  for (const char* gone :
       {"X-Bergamotscale-Key", "X-Bergamotscale-Hold", "X-Bergamotscale-Pin-Ms",
        "X-Bergamotscale-Kv-Backup", "Kv-From"}) {
    CAPTURE(gone);
    CHECK_FALSE(sent.Has(gone));
  }
}

TEST_CASE("platform: without a workspace no tenant header is forwarded") {
  web::HeaderList headers;
  headers.Add("X-Bergamotscale-Tenant", "other");
  const web::HeaderList sent =
      MakeHeaderCodec().encode_headers_(headers, gateway::ForwardInfo());
  CHECK_FALSE(sent.Has("X-Bergamotscale-Tenant"));
}

TEST_CASE("platform: long ids of prompt parts are told apart") {
  web::IncomingRequest call;
  call.headers_.Add("X-Bergamotscale-Token-Counts", "1460,80");
  call.headers_.Add("X-Bergamotscale-Prefix-Hash",
                    "798681b58f2310ed9e9c7a2d:800, "
                    "798681b58f2310ed9e9c7a2e:410,e4402b7d:250");
  const gateway::RequestInfo info = MakeHeaderCodec().decode_request_(call);
  CHECK(info.prompt_.prompt_ == Tokens(1'460));
  CHECK(info.prompt_.max_output_ == Tokens(80));
  REQUIRE(info.prompt_.parts_.size() == 3);
  CHECK(info.prompt_.parts_[0].id_ != info.prompt_.parts_[1].id_);
  CHECK(info.prompt_.parts_[1].tokens_ == Tokens(410));
}

TEST_CASE("platform: a response with an encoded body is not authentic") {
  web::ResponseHead head;
  head.headers_.Add("X-Bergamotscale-Response-Seal", "s");
  CHECK(MakeHeaderCodec().decode_response_(head).is_authentic_);
  head.headers_.Add("Content-Encoding", "gzip");
  CHECK_FALSE(MakeHeaderCodec().decode_response_(head).is_authentic_);
}

}  // namespace
}  // namespace bergamotscale::platform
