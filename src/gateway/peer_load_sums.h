// The load that all peers together put on upstreams.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_PEER_LOAD_SUMS_H_
#define BERGAMOTSCALE_SRC_GATEWAY_PEER_LOAD_SUMS_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "bergamotscale/clock.h"
#include "src/gateway/upstream_set.h"

namespace bergamotscale::gateway {

// Updates the sums with each message, so that the cost of a choice does not
// grow with the number of peers. Thread safety: use from one thread.
class PeerLoadSums {
 public:
  // Replaces the load that a peer has reported.
  void Apply(const std::string& peer, LoadReport loads, Millis now);
  // Removes loads that their peers have not updated for too long. It is cheap
  // enough to be called for each choice.
  void Expire(Millis now);
  // @return the load on an instance; zero if there is none.
  InstanceLoad Instance(uint64_t id_hash) const;
  // @return the mean age of the latest reports of all peers; zero without
  // peers.
  Millis MeanAge(Millis now) const;
  // @return the short prompts of a group; zero if there are none.
  ShortPromptLoad ShortPrompts(uint64_t group_hash) const;

 private:
  struct PeerLoads {
    LoadReport loads_;
    Millis received_at_;
  };

  void Add(const LoadReport& loads, int sign);

  std::unordered_map<std::string, PeerLoads> peers_;
  std::unordered_map<uint64_t, InstanceLoad> instances_;
  std::unordered_map<uint64_t, ShortPromptLoad> short_prompts_;
  Millis received_sum_;  // of received_at_ over peers_
  Millis checked_at_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_PEER_LOAD_SUMS_H_
