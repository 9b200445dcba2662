// Wire messages: round trip and invalid frames.
#include <string>

#include <doctest/doctest.h>

#include "src/wire/messages.h"

namespace bergamotscale::wire {
namespace {

TEST_CASE("wire: a message survives the round trip") {
  Work work;
  work.request_id_ = RequestId("r-1");
  work.body_ = std::string("a\0b", 3);
  work.resume_tokens_ = Tokens(7);
  const Result<Work> decoded = Decode<Work>(Encode(work));
  REQUIRE(decoded.ok());
  CHECK(decoded.value().request_id_ == work.request_id_);
  CHECK(decoded.value().body_ == work.body_);
  CHECK(decoded.value().resume_tokens_ == Tokens(7));
}

TEST_CASE(
    "wire: a truncated frame or one of another type is a protocol error") {
  const std::string frame = Encode(Granted{RequestId("r-1"), Timestamp()});
  CHECK(!Decode<Work>(frame).ok());
  CHECK(!Decode<Granted>(frame.substr(0, frame.size() - 1)).ok());
  CHECK(!Decode<Granted>("").ok());
  CHECK(!PeekType("\x7f").ok());
}

TEST_CASE("wire: a frame that declares huge lengths is rejected undecoded") {
  for (const char* claim : {"\xdd\x00\xff\xff\xff", "\xdf\x00\xff\xff\xff"}) {
    const std::string frame = std::string("\x06", 1) + std::string(claim, 5);
    const Result<Refused> decoded = Decode<Refused>(frame);
    REQUIRE(!decoded.ok());
    // The library's error text for a length over its limit.
    CHECK(decoded.error().detail_.find("overflow") != std::string::npos);
  }
}

}  // namespace
}  // namespace bergamotscale::wire
