// Fuzzes the reading of configuration documents: what is accepted must be
// accepted again in its canonical form.
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
