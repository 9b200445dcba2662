// Exchanges loads and suspects between gateways.
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
#include "src/policy/shared_rate_limits.h"
#include "src/policy/stream_origins.h"

namespace bergamotscale::gateway {

// @return a number that identifies the gateway whose datagrams come from this
// address. Thread safety: safe.
uint64_t MemberId(const boost::asio::ip::udp::endpoint& address);

struct PeerHooks {
  std::function<PeerStatus()> own_status_;
  std::function<LoadReport()> own_loads_;
  // @return the newest suspects, at most `limit`.
  std::function<std::vector<policy::CrashRecord>(size_t limit)> suspects_;
  std::function<std::vector<SentPrompt>()> recent_prompts_;
  std::function<void(const std::string& peer, LoadReport)> on_loads_;
  std::function<void(const std::vector<SentPrompt>&)> on_prompts_;
  // @return whether the record was new.
  std::function<bool(const policy::CrashRecord&)> on_suspect_;
  // The same for prompt parts.
  std::function<std::vector<policy::SuspectParts>(size_t limit)> suspect_parts_;
  std::function<void(const policy::SuspectParts&)> on_suspect_parts_;
  // The same for the rates that upstreams have asked for.
  std::function<std::vector<policy::RateNotice>()> rates_;
  std::function<void(const std::vector<policy::RateNotice>&)> on_rates_;
  // The same for versions and origins of streams.
  std::function<policy::VersionSets()> versions_;
  std::function<std::vector<policy::StreamRecord>()> origins_;
  std::function<void(const policy::VersionSets&)> on_versions_;
  std::function<void(const policy::StreamRecord&)> on_origin_;
  // The same for prefill speeds of engines; each is returned once.
  std::function<std::vector<SpeedSample>()> speeds_;
  std::function<void(const std::vector<SpeedSample>&)> on_speeds_;
  // The version of the configuration in force here, and at a peer; zero if it
  // is unknown whether peers have a newer one.
  std::function<int64_t()> config_version_;
  std::function<void(const boost::asio::ip::udp::endpoint& peer,
                     int64_t version)>
      on_config_version_;
  // What datagrams carry of the singleton duties, and what a peer's carried.
  // Empty in deployments without duties.
  std::function<DutyMessage()> duties_;
  std::function<void(uint64_t peer, const DutyMessage&)> on_duties_;
  // A datagram of a peer has arrived. @param peer see MemberId().
  std::function<void(uint64_t peer)> on_peer_seen_;
  // Report the size of each datagram, because datagrams share the link with
  // traffic.
  std::function<void(Bytes)> on_sent_;
  std::function<void(Bytes)> on_received_;
  // Number of gateways from which datagrams arrive, including this one.
  std::function<void(int)> on_member_count_;
};

// Sends and receives datagrams between gateways. Peers are discovered through
// the seed addresses of the settings and through the peer lists of other
// gateways. The state is soft: any datagram may be lost.
// Thread safety: use from the traffic thread.
class Peers {
 public:
  // @param own_address where datagrams arrive.
  // @param seeds addresses of peers, which may be stale.
  Peers(boost::asio::io_context& io,
        Clock boot,
        boost::asio::ip::udp::endpoint own_address,
        std::vector<boost::asio::ip::udp::endpoint> seeds,
        PeerHooks hooks);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  // Binds the own address. May be called again after it has failed.
  Status Start();
  // Sends new suspects or a new state of this gateway without waiting for the
  // next periodic datagram. Updates in quick succession share a datagram, so
  // that a series of crashes doesn't fill the links.
  void SendUpdateSoon();
  // @return the links of the known peers in a zone.
  policy::PeerLinkSpeeds LinksInZone(uint32_t zone_hash) const;
  void SetSeedPeers(std::vector<boost::asio::ip::udp::endpoint> seeds);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_PEERS_H_
