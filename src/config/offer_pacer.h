// Decides when a peer is sent the whole configuration document.
#ifndef BERGAMOTSCALE_SRC_CONFIG_OFFER_PACER_H_
#define BERGAMOTSCALE_SRC_CONFIG_OFFER_PACER_H_

#include <optional>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::config {

// What one process knows of one peer's revision. A peer learns changes from the
// log by itself, as a record of what changed; the document, which can be a
// thousand times as large, is for a peer that stays behind: the log can't be
// reached, or it lost records to retention.
// Thread safety: none.
class OfferPacer {
 public:
  // The connection to the peer is a new one: nothing is known of it.
  void Reset();

  // The peer told its revision; zero if it has none.
  // @param needs_document whether it waits for a peer's document: it is sent
  // one at once.
  void OnTold(Revision peer, bool needs_document = false);

  // @param own the revision in force here; zero if there is none.
  // @return whether the document is to be sent now, which counts as sent.
  bool TakeOffer(Revision own, Millis now);

 private:
  std::optional<Revision> told_;
  bool needs_document_ = false;
  std::optional<Millis> behind_since_;
  std::optional<Millis> offered_;
};

}  // namespace bergamotscale::config

#endif  // BERGAMOTSCALE_SRC_CONFIG_OFFER_PACER_H_
