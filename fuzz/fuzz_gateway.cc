// Fuzzes the reading of datagrams from peers, of the state of the duties and of
// event streams.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <msgpack.hpp>

#include "src/duties/duty_state.h"
#include "src/gateway/event_splitter.h"
#include "src/gateway/peer_message.h"
#include "src/lease/records.h"

namespace {

namespace duties = bergamotscale::duties;
namespace gateway = bergamotscale::gateway;
namespace lease = bergamotscale::lease;

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

// Reads the bytes as a datagram's field on the duties, which is behind 13
// others.
void FuzzPeerDuties(std::string_view bytes) {
  using Nothing = std::vector<int>;
  using Status = std::tuple<uint32_t, int64_t, bool, bool>;
  const std::tuple<int64_t, int64_t, Nothing, Nothing, Nothing, Nothing, Status,
                   Nothing, Nothing, Nothing, int64_t, std::string, std::string,
                   std::string>
      fields{1,  2,  {}, {}, {}, {}, {},
             {}, {}, {}, 0,  "", "", std::string(bytes)};
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, fields);
  FuzzPeers({buffer.data(), buffer.size()});
}

// A state that was read must be the same after it is written, as reports must
// not change.
void FuzzState(std::string_view bytes) {
  const auto read = duties::DecodeState(std::string(bytes));
  if (read.ok()) {
    const auto again = duties::DecodeState(duties::EncodeState(read.value()));
    if (!again.ok() || again.value() != read.value()) {
      std::abort();
    }
  }
}

void FuzzLease(std::string_view bytes) {
  const auto read = lease::DecodeRecord(std::string(bytes));
  if (read.ok() &&
      !lease::DecodeRecord(lease::EncodeRecord(read.value())).ok()) {
    std::abort();
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
  FuzzPeerDuties(bytes);
  FuzzState(bytes);
  FuzzLease(bytes);
  FuzzEvents(bytes);
  return 0;
}
