// Fuzzes the decoding of records from the users' store and of the headers that
// callers and upstreams write.
#include <cstddef>
#include <cstdint>
#include <string>

#include "platform/decoders.h"
#include "platform/header_codec.h"

namespace {

namespace platform = bergamotscale::platform;

void FuzzHeaders(const std::string& text) {
  static const bergamotscale::gateway::HeaderCodec kHeaderCodec =
      platform::MakeHeaderCodec();
  bergamotscale::web::IncomingRequest call;
  call.headers_.Add("X-Bergamotscale-Prefix-Hash", text);
  call.headers_.Add("X-Bergamotscale-Token-Counts", text);
  call.headers_.Add("X-Bergamotscale-Deadline-Ms", text);
  kHeaderCodec.decode_request_(call);
  constexpr int kUnavailable = 503;
  bergamotscale::web::ResponseHead head;
  head.status_ = kUnavailable;
  head.headers_.Add("Retry-After", text);
  head.headers_.Add("Server-Leaving", text);
  kHeaderCodec.decode_response_(head);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  platform::DecodeConfig(text);
  platform::DecodeUpstream("i-1", text);
  platform::DecodeNewest(text);
  platform::DecodeTail(bergamotscale::LogOffset(3), text);
  FuzzHeaders(text);
  return 0;
}
