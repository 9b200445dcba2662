// Tests the decoding of the platform's documents and headers.
#include <optional>
#include <string>
#include <vector>

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
  CHECK(read.value().sequence_ == 4);
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
      R"({"service":"s","address":"10.0.0.9:70000","slots":1,"state":"ready"})",
      R"({"service":"s","address":"10.0.0.9:99999999999999999999","slots":1,
          "state":"ready"})",
      R"({"service":"s","address":"10.0.0.9:-80","slots":1,"state":"ready"})",
      R"({"service":"s","address":"10.0.0.9:80x","slots":1,"state":"ready"})",
      R"({"service":"s","address":"host:80","slots":1,"state":"ready"})",
      R"({"service":"s","address":"10.0.0.9:80","slots":1e300,
          "state":"ready"})",
      R"({"service":"s","address":"10.0.0.9:80","slots":1e999,
          "state":"ready"})",
      R"({"service":"s","address":"10.0.0.9:80","slots":4294967296,
          "state":"ready"})",
      R"({"service":"s","address":"10.0.0.9:80","slots":1,"state":"ready",
          "born":1e300})",
      R"({"service":"s","address":"10.0.0.9:80","slots":1,"state":"ready",
          "born":-1})",
      R"({"service":"s","address":"10.0.0.9:80","slots":1,"state":"ready",
          "born":"now"})",
  };
  for (const char* text : faulty) {
    CAPTURE(text);
    CHECK_FALSE(DecodeUpstream("i-1", text).ok());
  }
}

// A parser or a destructor that recurses ends the process.
TEST_CASE("platform: deep nesting ends no process") {
  constexpr size_t kDepth = 120'000;  // a record holds 262,144 bytes
  const std::string arrays(kDepth, '[');
  CHECK_FALSE(DecodeUpstream("i-1", arrays).ok());
  CHECK_FALSE(DecodeUpstream("i-1", arrays + std::string(kDepth, ']')).ok());
  std::string objects;
  for (size_t i = 0; i < kDepth / 4; ++i) {
    objects += "{\"a\":";
  }
  CHECK_FALSE(
      DecodeUpstream("i-1", objects + "1" + std::string(kDepth / 4, '}')).ok());
  const std::string nested =
      R"({"service":"s","address":"10.0.0.9:80","slots":1,"state":"ready","x":)" +
      arrays + std::string(kDepth, ']') + "}";
  CHECK(DecodeUpstream("i-1", nested).ok());
  CHECK_FALSE(DecodeConfig(arrays).ok());
}

TEST_CASE("platform: numbers out of range make a configuration unreadable") {
  for (const char* part :
       {R"("timeout_ms":1e300)", R"("timeout_ms":-5)", R"("priority":1e18)",
        R"("max_attempts":"3")", R"("gap_aim_ms":[])"}) {
    CAPTURE(part);
    CHECK_FALSE(
        DecodeConfig(std::string(R"({"version":1,"services":[],"routes":[
                        {"host":"a","path_prefix":"/",)") +
                     part + "}]}")
            .ok());
  }
  CHECK_FALSE(
      DecodeConfig(R"({"version":1e300,"services":[],"routes":[]})").ok());
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
}

// One such record among others made a gateway read the same page for ever.
TEST_CASE("platform: an odd record does not hide the others") {
  const auto page = DecodeNewest(
      R"({"items":[{"key":"odd","value":"e30","offset":4},
                   {"key":"none","offset":5},
                   {"key":"k","value":"e30=","offset":6}],"end":7})");
  REQUIRE(page.ok());
  REQUIRE(page.value().records_.size() == 3);
  CHECK(page.value().records_[0].value_ == "");
  CHECK_FALSE(DecodeUpstream("odd", "").ok());
  CHECK(page.value().records_[1].value_ == "");
  CHECK(page.value().records_[2].value_ == "{}");
  std::string bytes(16, '\0');
  bytes += std::string("\0\0\0\0", 4);     // without a key
  bytes += std::string("\0\0\0\2\5a", 6);  // a key cut short
  bytes += std::string("\0\0\0\4\1kvv", 8);
  const auto tail = DecodeTail(LogOffset(10), bytes);
  REQUIRE(tail.ok());
  CHECK(tail.value().next_ == LogOffset(13));
  REQUIRE(tail.value().records_.size() == 1);
  CHECK(tail.value().records_[0].key_ == "k");
  CHECK(tail.value().records_[0].value_ == "vv");
  CHECK(tail.value().records_[0].offset_ == LogOffset(12));
}

TEST_CASE(
    "platform: records are decoded, and one without a value removes a key") {
  std::string bytes(16, '\0');
  bytes[6] = 0x03;  // the log's end, 0x034c
  bytes[7] = 0x4c;
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
  CHECK(read.value().end_ == LogOffset(844));
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
  info.urgency_ = {12, 13};
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

// An engine preempts by this value: equal values for a long prompt and a short
// urgent one made it preempt the urgent one.
TEST_CASE("platform: each urgency level has its value, in order") {
  const auto sent = [](route::UrgencyLevel urgency) {
    gateway::ForwardInfo info;
    info.urgency_ = urgency;
    const web::HeaderList headers =
        MakeHeaderCodec().encode_headers_(web::HeaderList(), info);
    return std::stoi(
        std::string(headers.Find("X-Bergamotscale-Request-Urgency")));
  };
  for (int level = 0; level < 10; ++level) {
    CHECK(sent({level, 10}) == level);
  }
  for (int level = 1; level < 40; ++level) {
    CHECK(sent({level - 1, 40}) <= sent({level, 40}));
  }
  CHECK(sent({0, 40}) == 0);
  CHECK(sent({39, 40}) == 9);
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

gateway::ResponseInfo DecodeHead(
    int status,
    const std::vector<std::pair<std::string, std::string>>& headers) {
  web::ResponseHead head;
  head.status_ = status;
  for (const auto& [name, value] : headers) {
    head.headers_.Add(name, value);
  }
  return MakeHeaderCodec().decode_response_(head);
}

// Requests went on to an upstream that had announced in its responses that it
// was leaving.
TEST_CASE("platform: an upstream's announcement that it leaves is decoded") {
  CHECK(DecodeHead(200, {{"Server-Leaving", "1"}}).is_leaving_);
  CHECK(DecodeHead(503, {{"server-leaving", " 1 "}}).is_leaving_);
  CHECK(DecodeHead(200, {{"Server-Leaving", "0"}, {"Server-Leaving", "1"}})
            .is_leaving_);
  for (const char* other : {"0", "", "11", "yes", "1, 1", "-1"}) {
    CAPTURE(other);
    CHECK_FALSE(DecodeHead(200, {{"Server-Leaving", other}}).is_leaving_);
  }
  CHECK_FALSE(DecodeHead(200, {}).is_leaving_);
  // Another instance answers at the address.
  CHECK_FALSE(DecodeHead(421, {{"Server-Leaving", "1"}}).is_leaving_);
}

TEST_CASE("platform: how long an upstream wants no requests is decoded") {
  const auto pause = [](const std::string& value, int status = 503) {
    return DecodeHead(status, {{"Retry-After", value}}).pause_.count();
  };
  CHECK(pause("2") == 2'000);
  CHECK(pause(" 0.25 ") == 250);
  CHECK(pause("0.0004") == 1);
  CHECK(pause("0") == 0);
  CHECK(pause("2", 200) == 0);
  CHECK(pause("2", 429) == 0);
  for (const char* rubbish : {"", " ", "-3", "soon", "3s", "nan", "inf", "1e3",
                              "0x10", "1,5", "Sat, 05 Dec 2026 10:00:00 GMT"}) {
    CAPTURE(rubbish);
    CHECK(pause(rubbish) == 0);
  }
  CHECK(pause("99999999999999999999") == 86'400'000);
  CHECK(pause(std::string(400, '9')) == 86'400'000);
  CHECK(DecodeHead(503, {{"Retry-After", "1"}, {"Retry-After", "3"}}).pause_ ==
        Millis(3'000));
  CHECK(DecodeHead(503, {}).pause_ == Millis(0));
}

TEST_CASE("platform: the request rate that an upstream takes is decoded") {
  struct Case {
    std::vector<std::string> values_;
    int status_;
    bool tells_;
    std::optional<double> rate_;
  };
  for (const Case& example :
       std::vector<Case>{{{}, 200, true, std::nullopt},
                         {{"1.2"}, 200, true, 1.2},
                         {{" 12 "}, 500, true, 12},
                         {{".5"}, 503, true, 0.5},
                         {{"0"}, 200, true, 0},
                         {{"5", "1.5", "3"}, 200, true, 1.5},
                         {{"x", "2"}, 200, true, 2},
                         {{"99999999999999999999999999999"}, 200, true, 1e9},
                         {{"-1"}, 200, false, std::nullopt},
                         {{""}, 200, false, std::nullopt},
                         {{"1,2"}, 200, false, std::nullopt},
                         {{"1e3"}, 200, false, std::nullopt},
                         {{"nan"}, 200, false, std::nullopt},
                         {{"inf"}, 200, false, std::nullopt},
                         // Another instance answers.
                         {{"1.2"}, 421, false, std::nullopt}}) {
    web::ResponseHead head;
    head.status_ = example.status_;
    for (const std::string& value : example.values_) {
      CAPTURE(value);
      head.headers_.Add("server-limit", value);
    }
    const gateway::ResponseInfo info = MakeHeaderCodec().decode_response_(head);
    CHECK(info.tells_rate_ == example.tells_);
    CHECK(info.requests_per_second_ == example.rate_);
  }
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
