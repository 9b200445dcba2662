// Whether an entry asks the platform to send its new callers elsewhere.
#ifndef BERGAMOTSCALE_SRC_POLICY_CALLER_SHEDDING_H_
#define BERGAMOTSCALE_SRC_POLICY_CALLER_SHEDDING_H_

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// The links of the other entries that the platform may send callers to instead.
struct OtherLinks {
  int64_t ready_kbps_ = 0;  // of those that take new callers
  int64_t all_kbps_ = 0;
};

// Balancers spread callers evenly over entries with slow and with fast links.
// This answers load that the slow ones can't carry while the fast ones can: an
// entry whose link is busy sheds its callers as long as the links that stay
// have at least half of the speed of all. Entries that are alike therefore
// never shed all at once, and an entry that knows of no other never sheds.
// Thread safety: none.
class CallerShedding {
 public:
  // @param own_kbps speed of this entry's link; zero if it is not known.
  explicit CallerShedding(int64_t own_kbps) : own_kbps_(own_kbps) {}

  // Call several times a second. @param busy_share of LinkBudget.
  // @return whether callers should go elsewhere from now on.
  bool Update(double busy_share, const OtherLinks& others, Millis now);

  bool sheds() const { return sheds_; }

 private:
  bool OthersSuffice(const OtherLinks& others) const;

  const int64_t own_kbps_;
  bool sheds_ = false;
  Millis since_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_CALLER_SHEDDING_H_
