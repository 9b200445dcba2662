// The state of the placement stream: who holds the lease, and which engine
// orders are valid.
#ifndef BERGAMOTSCALE_SRC_PLACEMENT_PLACEMENT_FOLD_H_
#define BERGAMOTSCALE_SRC_PLACEMENT_PLACEMENT_FOLD_H_

#include <deque>
#include <optional>

#include "src/lease/records.h"
#include "src/log/log_client.h"
#include "src/placement/records.h"

namespace bergamotscale::placement {

// Upper bound of a lease's time to live.
inline constexpr Millis kMaxLeaseTtl = Millis(60'000);

// How long load and unload orders are kept.
inline constexpr Millis kOrderRetention = Millis(600'000);

// Applies placement records in log order. Deterministic: the same records give
// the same state in every process, independent of its clock. Its time is the
// newest wall time in the records. A reader that starts after the first record
// grants no lease request before it has read a renewal, or has read records
// spanning kMaxLeaseTtl.
// Thread safety: use from one thread.
class PlacementFold {
 public:
  // Applies one record.
  // @return the order in it, if its fencing number is that of the lease in
  // force at its log offset.
  std::optional<EngineOrder> Apply(const log::Record& record);

  // @return the order in the last record, if it was not valid.
  const std::optional<EngineOrder>& refused() const { return refused_; }

  // @return the lease in force. An expired lease stays in force until another
  // is granted, since there is no conflicting holder until then.
  const std::optional<lease::Lease>& lease() const { return lease_; }

  // @return whether a lease request with that wall time would be granted.
  bool IsLeaseFree(Millis wall) const;

  // @return what a lease keeper needs to know at that wall time.
  lease::LeaseView ViewLease(Millis wall) const;

  // @return the number of valid orders since a wall time that fetch weights, of
  // all lease holders; counts against the weight store's limit.
  int CountLoadsSince(Millis wall) const;
  // @return valid load and unload orders of the last kOrderRetention, oldest
  // first. Valid until the next Apply().
  const std::deque<EngineOrder>& orders() const { return orders_; }

 private:
  void HandleRecord(const lease::LeaseRequest& request, LogOffset offset);
  void HandleRecord(const lease::LeaseRenewal& renewal);
  void HandleRecord(const lease::LeaseRelease& release);
  std::optional<EngineOrder> HandleRecord(const EngineOrder& order);

  std::optional<lease::Lease> lease_;
  // Whether it is known if another process holds the lease.
  bool is_lease_known_ = false;
  std::optional<Millis> first_wall_;
  Millis now_;
  std::deque<EngineOrder> orders_;
  std::optional<EngineOrder> refused_;
};

}  // namespace bergamotscale::placement

#endif  // BERGAMOTSCALE_SRC_PLACEMENT_PLACEMENT_FOLD_H_
