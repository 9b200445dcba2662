// Fuzzes the reading of configuration documents: the canonical form of an
// accepted document must be accepted and must not change.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "bergamotscale/config_document.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  const auto document = bergamotscale::ParseConfigDocument(text, "fuzz");
  if (!document.ok()) {
    return 0;
  }
  const std::string canonical =
      bergamotscale::SerializeConfigDocument(document.value());
  const auto again = bergamotscale::ParseConfigDocument(canonical, "again");
  if (!again.ok() ||
      bergamotscale::SerializeConfigDocument(again.value()) != canonical) {
    std::abort();
  }
  return 0;
}
