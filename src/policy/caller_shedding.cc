#include "src/policy/caller_shedding.h"

namespace bergamotscale::policy {
namespace {

// Busy share at which shedding starts. The platform's probe takes two seconds
// to follow, in which the load may grow by half.
constexpr double kStartSheddingShare = 0.6;
// Busy share below which shedding stops.
constexpr double kStopSheddingShare = 0.3;
// The minimum time that shedding lasts, so that it doesn't oscillate with the
// probe.
constexpr Millis kMinSheddingTime = Millis(4'000);
// Entries that don't shed must have at least all link speed divided by this.
constexpr int64_t kMinPeerSpeedDivisor = 2;

}  // namespace

bool CallerShedding::Update(double busy_share,
                            const PeerLinkSpeeds& others,
                            Millis now) {
  const bool is_busy =
      busy_share >= (is_shedding_ ? kStopSheddingShare : kStartSheddingShare);
  const bool shed = is_busy && PeersHaveCapacity(others);
  const bool may_change = !is_shedding_ || !PeersHaveCapacity(others) ||
                          now - changed_at_ >= kMinSheddingTime;
  if (shed != is_shedding_ && may_change) {
    is_shedding_ = shed;
    changed_at_ = now;
  }
  return is_shedding_;
}

bool CallerShedding::PeersHaveCapacity(const PeerLinkSpeeds& others) const {
  return others.ready_kbps_ > 0 && others.ready_kbps_ * kMinPeerSpeedDivisor >=
                                       others.all_kbps_ + own_kbps_;
}

}  // namespace bergamotscale::policy
