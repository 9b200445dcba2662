#include "src/config/offer_pacer.h"

namespace bergamotscale::config {
namespace {

// A peer that reaches the log has caught up long before.
constexpr Millis kPatience(2000);
// Time for a document to arrive, and for the peer to tell its new revision.
constexpr Millis kOfferInterval(3000);

}  // namespace

void OfferPacer::Reset() {
  *this = OfferPacer();
}

void OfferPacer::OnTold(Revision peer, bool needs_document) {
  needs_document_ = needs_document_ || needs_document;
  if (told_.has_value() && peer <= *told_) {
    return;
  }
  told_ = peer;
  needs_document_ = needs_document;
  behind_since_.reset();
  offered_.reset();
}

bool OfferPacer::TakeOffer(Revision own, Millis now) {
  if (!told_.has_value() || own <= *told_) {
    behind_since_.reset();
    return false;
  }
  if (!behind_since_.has_value()) {
    behind_since_ = now;
  }
  const bool patient = !needs_document_ && now - *behind_since_ < kPatience;
  const bool on_the_way =
      offered_.has_value() && now - *offered_ < kOfferInterval;
  if (patient || on_the_way) {
    return false;
  }
  offered_ = now;
  return true;
}

}  // namespace bergamotscale::config
