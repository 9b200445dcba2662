// Decides when to send the whole configuration document to a peer.
#ifndef BERGAMOTSCALE_SRC_CONFIG_OFFER_PACER_H_
#define BERGAMOTSCALE_SRC_CONFIG_OFFER_PACER_H_

#include <optional>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::config {

// Decides when to offer the document to one peer, from the revision that the
// peer reports. Peers normally read changes from the log as small deltas. The
// document can be a thousand times as large, so it is sent only to a peer that
// stays behind because it can't reach the log or records have expired.
// Thread safety: none.
class OfferPacer {
 public:
  // Forgets the peer's state; call for each new connection.
  void Reset();

  // Handles the revision reported by the peer; zero if it has none.
  // @param needs_document whether the peer requests the document, which is then
  // sent without delay.
  void OnPeerRevision(Revision peer, bool needs_document = false);

  // @param own this process's revision in force; zero if there is none.
  // @return whether to send the document now; true counts as sent.
  bool StartOfferIfDue(Revision own, Millis now);

 private:
  std::optional<Revision> peer_revision_;
  bool needs_document_ = false;
  std::optional<Millis> behind_since_;
  std::optional<Millis> last_offer_;
};

}  // namespace bergamotscale::config

#endif  // BERGAMOTSCALE_SRC_CONFIG_OFFER_PACER_H_
