// Fuzzes the decoding of every wire message.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "src/wire/messages.h"

namespace {

using namespace bergamotscale;  // NOLINT: one small file

// A decoded message must have an encoding that decodes to an equal message.
template <typename T>
void Check(std::string_view frame) {
  const Result<T> decoded = wire::Decode<T>(frame);
  if (!decoded.ok()) {
    return;
  }
  const std::string encoded = wire::Encode(decoded.value());
  const Result<T> again = wire::Decode<T>(encoded);
  if (!again.ok() || wire::Encode(again.value()) != encoded) {
    std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view frame(reinterpret_cast<const char*>(data), size);
  Check<wire::Reserve>(frame);
  Check<wire::Granted>(frame);
  Check<wire::Work>(frame);
  Check<wire::Chunk>(frame);
  Check<wire::Finished>(frame);
  Check<wire::Refused>(frame);
  Check<wire::SidecarStatus>(frame);
  Check<wire::Gossip>(frame);
  return 0;
}
