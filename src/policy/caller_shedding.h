// Decides when an entry sheds its callers to other entries.
#ifndef BERGAMOTSCALE_SRC_POLICY_CALLER_SHEDDING_H_
#define BERGAMOTSCALE_SRC_POLICY_CALLER_SHEDDING_H_

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// Total link speeds of the other entries that can take the callers.
struct PeerLinkSpeeds {
  int64_t ready_kbps_ = 0;  // of entries that accept new callers
  int64_t all_kbps_ = 0;
};

// Load balancers spread callers evenly over entries with slow and fast links,
// so a slow link can be overloaded while fast ones have capacity. An entry with
// a busy link sheds its callers as long as the entries that don't shed have at
// least half of the total link speed. Entries with equal links therefore never
// shed all at once, and an entry without peers never sheds. Thread safety:
// none.
class CallerShedding {
 public:
  // @param own_kbps speed of this entry's link; 0 if unknown.
  explicit CallerShedding(int64_t own_kbps) : own_kbps_(own_kbps) {}

  // Updates the decision. Call several times a second.
  // @param busy_share see LinkBudget::GetUtilization().
  // @return whether callers should be sent elsewhere from now on.
  bool Update(double busy_share, const PeerLinkSpeeds& others, Millis now);

  bool is_shedding() const { return is_shedding_; }

 private:
  bool PeersHaveCapacity(const PeerLinkSpeeds& others) const;

  const int64_t own_kbps_;
  bool is_shedding_ = false;
  Millis changed_at_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_CALLER_SHEDDING_H_
