#include "src/policy/caller_shedding.h"

namespace bergamotscale::policy {
namespace {

// Sheds from this share on: the platform's probe takes two seconds to follow,
// in which the load may grow by half.
constexpr double kShedsFrom = 0.6;
// Takes callers again below this share.
constexpr double kTakesBelow = 0.3;
// Stays as it is for at least this time, so that it doesn't swing at the pace
// of the probe.
constexpr Millis kLeastStay = Millis(4'000);
// Of the speed of all links, that of those that stay.
constexpr int64_t kStayingShare = 2;

}  // namespace

bool CallerShedding::Update(double busy_share,
                            const OtherLinks& others,
                            Millis now) {
  const bool wants = busy_share >= (sheds_ ? kTakesBelow : kShedsFrom);
  const bool sheds = wants && OthersSuffice(others);
  const bool may_change =
      !sheds_ || !OthersSuffice(others) || now - since_ >= kLeastStay;
  if (sheds != sheds_ && may_change) {
    sheds_ = sheds;
    since_ = now;
  }
  return sheds_;
}

bool CallerShedding::OthersSuffice(const OtherLinks& others) const {
  return others.ready_kbps_ > 0 &&
         others.ready_kbps_ * kStayingShare >= others.all_kbps_ + own_kbps_;
}

}  // namespace bergamotscale::policy
