// The status streams of one sidecar: its status, and gossip both ways.
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

// Thread safety: use on the io_context's thread.
class StatusHub {
 public:
  using GossipHook = std::function<void(const wire::Gossip&)>;

  // @param on_gossip called with what a peer tells.
  explicit StatusHub(GossipHook on_gossip);

  // Takes a status stream. @return its hooks.
  link::StreamHooks Accept(link::Stream stream);

  // Sends to all peers that keep up.
  void Broadcast(const wire::SidecarStatus& status);
  void Broadcast(const wire::Gossip& gossip);
  // Sends a gossip without a document.
  // @param document goes with it only to peers that stay behind its revision.
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
