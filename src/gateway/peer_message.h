// The datagram between gateways.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_PEER_MESSAGE_H_
#define BERGAMOTSCALE_SRC_GATEWAY_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "bergamotscale/result.h"
#include "src/gateway/upstream_set.h"
#include "src/policy/quarantine.h"

namespace bergamotscale::gateway {

// What a gateway tells of its place and its link.
struct PeerPlace {
  uint32_t zone_hash_ = 0;
  int64_t link_kbps_ = 0;  // zero if it is not known
  bool sheds_ = false;     // asks for its callers to be sent elsewhere
};

struct PeerMessage {
  // Tells datagrams of one incarnation of a gateway apart from earlier ones.
  int64_t incarnation_ = 0;
  int64_t number_ = 0;
  PeerPlace place_;
  // Whether the loads are all of the sender's; otherwise it tells none.
  bool has_loads_ = false;
  // Addresses of other gateways that the sender hears, as "IP:PORT".
  std::vector<std::string> heard_;
  std::vector<InstanceLoad> loads_;
  std::vector<policy::SuspicionRecord> suspicions_;
  std::vector<SentPrompt> prompts_;
};

// @return the message as msgpack bytes. Thread safety: safe.
std::string WritePeerMessage(const PeerMessage& message);

// @return the message, or kProtocolError if the bytes are none.
// Thread safety: safe.
Result<PeerMessage> ReadPeerMessage(std::string_view bytes);

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_PEER_MESSAGE_H_
