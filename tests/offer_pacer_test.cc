// OfferPacer: when a peer is sent the whole document.
#include <doctest/doctest.h>

#include "src/config/offer_pacer.h"

namespace bergamotscale::config {
namespace {

constexpr Millis kRound(1000);

// Simulates gossip rounds, one a second.
// @return the number of rounds in which the document was sent.
int CountOffers(OfferPacer& pacer, Revision own, int rounds) {
  int offers = 0;
  for (int round = 0; round < rounds; ++round) {
    offers += pacer.StartOfferIfDue(own, kRound * round) ? 1 : 0;
  }
  return offers;
}

TEST_CASE("offer pacer: a peer without a reported revision is sent nothing") {
  OfferPacer pacer;
  CHECK(CountOffers(pacer, Revision(7), 60) == 0);
}

TEST_CASE("offer pacer: a peer with the same revision is sent nothing") {
  OfferPacer pacer;
  pacer.OnPeerRevision(Revision(7));
  CHECK(CountOffers(pacer, Revision(7), 60) == 0);
  CHECK(CountOffers(pacer, Revision(0), 60) == 0);
}

TEST_CASE("offer pacer: a peer that follows the log is sent nothing") {
  OfferPacer pacer;
  int offers = 0;
  // One change a second, which the peer reports a second later.
  for (int second = 1; second < 60; ++second) {
    pacer.OnPeerRevision(Revision(second));
    offers += pacer.StartOfferIfDue(Revision(second + 1), kRound * second);
  }
  CHECK(offers == 0);
}

TEST_CASE(
    "offer pacer: a peer that stays behind is sent the document within 3 s") {
  for (const int64_t peer_revision : {0, 6}) {
    OfferPacer pacer;
    pacer.OnPeerRevision(Revision(peer_revision));
    CHECK(CountOffers(pacer, Revision(7), 4) == 1);
  }
}

TEST_CASE("offer pacer: a peer that needs the document is sent it at once") {
  OfferPacer pacer;
  pacer.OnPeerRevision(Revision(0));
  CHECK_FALSE(pacer.StartOfferIfDue(Revision(7), Millis(0)));
  pacer.OnPeerRevision(Revision(0), /*needs_document=*/true);
  CHECK(pacer.StartOfferIfDue(Revision(7), Millis(100)));
  // With the document, the peer follows the log by itself.
  pacer.OnPeerRevision(Revision(7));
  CHECK_FALSE(pacer.StartOfferIfDue(Revision(8), Millis(200)));
}

TEST_CASE("offer pacer: a lost document is sent again, but not every second") {
  OfferPacer pacer;
  pacer.OnPeerRevision(Revision(0));
  const int offers = CountOffers(pacer, Revision(7), 60);
  CHECK(offers > 1);
  CHECK(offers <= 20);
}

TEST_CASE("offer pacer: a new connection forgets the peer's old revision") {
  OfferPacer pacer;
  pacer.OnPeerRevision(Revision(9));
  pacer.Reset();
  pacer.OnPeerRevision(Revision(0));
  CHECK(CountOffers(pacer, Revision(9), 4) == 1);
}

}  // namespace
}  // namespace bergamotscale::config
