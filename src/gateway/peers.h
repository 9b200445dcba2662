// Soft state that gateways tell one another: loads and suspicions.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_PEERS_H_
#define BERGAMOTSCALE_SRC_GATEWAY_PEERS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "bergamotscale/clock.h"
#include "bergamotscale/result.h"
#include "src/gateway/peer_message.h"
#include "src/gateway/upstream_set.h"
#include "src/policy/caller_shedding.h"
#include "src/policy/quarantine.h"

namespace bergamotscale::gateway {

struct PeerHooks {
  std::function<PeerPlace()> own_place_;
  std::function<std::vector<InstanceLoad>()> own_loads_;
  // @return the newest suspicions, at most so many.
  std::function<std::vector<policy::SuspicionRecord>(size_t limit)> suspicions_;
  std::function<std::vector<SentPrompt>()> recent_prompts_;
  std::function<void(const std::string& peer, std::vector<InstanceLoad>)>
      on_loads_;
  std::function<void(const std::vector<SentPrompt>&)> on_prompts_;
  // @return whether the record was news.
  std::function<bool(const policy::SuspicionRecord&)> on_suspicion_;
  // Bytes of datagrams, which share the link with traffic.
  std::function<void(Bytes)> on_sent_;
  std::function<void(Bytes)> on_received_;
  // The number of gateways that are heard, this one included.
  std::function<void(int)> on_members_;
};

// Exchanges datagrams with the peers that it hears of. Peers are found through
// a few addresses of the settings and through one another; all of it may be
// lost. Thread safety: use from the traffic thread.
class Peers {
 public:
  // @param own address on which datagrams arrive.
  // @param first addresses of peers, which may be stale.
  Peers(boost::asio::io_context& io,
        Clock boot,
        boost::asio::ip::udp::endpoint own,
        std::vector<boost::asio::ip::udp::endpoint> first,
        PeerHooks hooks);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  Status Start();
  // One more suspicion, or another state of this gateway, is known: tells it
  // without waiting for the next turn. Many in a short time go together, so
  // that a row of crashes doesn't fill the links.
  void SendNews();
  // @return the links of the peers in a zone that are heard.
  policy::OtherLinks LinksIn(uint32_t zone_hash) const;
  void SetFirst(std::vector<boost::asio::ip::udp::endpoint> first);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_PEERS_H_
