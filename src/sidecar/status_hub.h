// The status streams of one sidecar.
#ifndef BERGAMOTSCALE_SRC_SIDECAR_STATUS_HUB_H_
#define BERGAMOTSCALE_SRC_SIDECAR_STATUS_HUB_H_

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "src/config/offer_pacer.h"
#include "src/link/link.h"
#include "src/wire/messages.h"

namespace bergamotscale::sidecar {

// Broadcasts the sidecar's status and gossip to the connected entries, and
// receives their gossip.
// Thread safety: use on the io_context's thread.
class StatusHub {
 public:
  using GossipHook = std::function<void(const wire::Gossip&)>;

  // @param on_gossip called with each gossip message of a peer.
  explicit StatusHub(GossipHook on_gossip);

  // Adds a status stream. @return its hooks.
  link::StreamHooks Accept(link::Stream stream);

  // Sends a message to all peers except those with too much unsent data.
  void Broadcast(const wire::SidecarStatus& status);
  void Broadcast(const wire::Gossip& gossip);
  // Sends all peers a gossip message about the configuration in force.
  // @param brief the message without a document.
  // @param document added only for peers that remain at an older revision.
  // @param now time of a steady clock.
  void BroadcastConfig(const wire::Gossip& brief,
                       const std::string& document,
                       Millis now);
  // Ends all streams.
  void Finish();

  size_t size() const { return peers_.size(); }

 private:
  struct Peer {
    link::Stream stream_;
    config::OfferPacer offers_;
  };

  void Send(Peer& peer, const std::string& frame);
  void OnMessage(Peer& peer, std::string_view frame);

  GossipHook on_gossip_;
  std::list<std::shared_ptr<Peer>> peers_;
};

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_STATUS_HUB_H_
