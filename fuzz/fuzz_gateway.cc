// Fuzzes the reading of datagrams from peers and of event streams.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "src/gateway/event_splitter.h"
#include "src/gateway/peer_message.h"

namespace {

namespace gateway = bergamotscale::gateway;

// A message that was read must be readable again after it is written.
void FuzzPeers(std::string_view bytes) {
  const auto read = gateway::ReadPeerMessage(bytes);
  if (read.ok()) {
    const std::string written = gateway::WritePeerMessage(read.value());
    if (!gateway::ReadPeerMessage(written).ok()) {
      std::abort();
    }
  }
}

// No byte may be lost or changed where the stream is split.
void FuzzEvents(std::string_view bytes) {
  gateway::EventSplitter splitter;
  const size_t half = bytes.size() / 2;
  std::string passed = splitter.ExtractEvents(bytes.substr(0, half));
  passed += splitter.ExtractEvents(bytes.substr(half));
  passed += splitter.ExtractRemainder();
  if (passed != bytes) {
    std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  FuzzPeers(bytes);
  FuzzEvents(bytes);
  return 0;
}
