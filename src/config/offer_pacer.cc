#include "src/config/offer_pacer.h"

namespace bergamotscale::config {
namespace {

// A peer that can reach the log catches up in less time.
constexpr Millis kOfferDelay(2000);
// Time for a document to arrive and for the peer to report its new revision.
constexpr Millis kOfferInterval(3000);

}  // namespace

void OfferPacer::Reset() {
  *this = OfferPacer();
}

void OfferPacer::OnPeerRevision(Revision peer, bool needs_document) {
  needs_document_ = needs_document_ || needs_document;
  if (peer_revision_.has_value() && peer <= *peer_revision_) {
    return;
  }
  peer_revision_ = peer;
  needs_document_ = needs_document;
  behind_since_.reset();
  last_offer_.reset();
}

bool OfferPacer::StartOfferIfDue(Revision own, Millis now) {
  if (!peer_revision_.has_value() || own <= *peer_revision_) {
    behind_since_.reset();
    return false;
  }
  if (!behind_since_.has_value()) {
    behind_since_ = now;
  }
  const bool log_may_suffice =
      !needs_document_ && now - *behind_since_ < kOfferDelay;
  const bool offer_in_flight =
      last_offer_.has_value() && now - *last_offer_ < kOfferInterval;
  if (log_may_suffice || offer_in_flight) {
    return false;
  }
  last_offer_ = now;
  return true;
}

}  // namespace bergamotscale::config
