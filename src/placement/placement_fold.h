// The fold of the placement stream: who holds the lease, and which orders to
// engines stand.
#ifndef BERGAMOTSCALE_SRC_PLACEMENT_PLACEMENT_FOLD_H_
#define BERGAMOTSCALE_SRC_PLACEMENT_PLACEMENT_FOLD_H_

#include <deque>
#include <optional>

#include "src/log/log_client.h"
#include "src/placement/records.h"

namespace bergamotscale::placement {

// No lease is asked for longer.
inline constexpr Millis kMaxLeaseTtl = Millis(60'000);

// How long orders to load and unload are remembered.
inline constexpr Millis kOrderMemory = Millis(600'000);

struct Lease {
  Fence fence_;
  LeaseId lease_;
  InstanceId holder_;
  Millis expires_;  // wall time
};

// Pure: the same records give the same state in every process, however its
// clock runs. Its time is the newest wall time in the records. A reader that
// begins after the first record judges no request before it has seen a renewal,
// or has read on for kMaxLeaseTtl without one.
// Thread safety: use from one thread.
class PlacementFold {
 public:
  // Applies one record.
  // @return the order in it, if its fencing number is that of the lease in
  // force at its place in the log.
  std::optional<EngineOrder> Apply(const log::Record& record);

  // @return the order in the last record, if it did not stand.
  const std::optional<EngineOrder>& refused() const { return refused_; }

  // @return the lease in force; an expired one stays in force until another
  // is granted, since its holder's orders harm nobody until then.
  const std::optional<Lease>& lease() const { return lease_; }

  // @return whether a request of that wall time would be granted.
  bool IsFree(Millis wall) const;

  // @return standing orders since a wall time that fetch weights, whoever held
  // the lease: what the weight store's limit is shared by.
  int LoadsSince(Millis wall) const;
  // @return standing orders to load and unload, oldest first; of the last
  // kOrderMemory. Valid until the next Apply().
  const std::deque<EngineOrder>& orders() const { return orders_; }

 private:
  void Take(const LeaseRequest& request, LogOffset offset);
  void Take(const LeaseRenewal& renewal);
  void Take(const LeaseRelease& release);
  std::optional<EngineOrder> Take(const EngineOrder& order);

  std::optional<Lease> lease_;
  // Whether a request can be judged.
  bool knows_lease_ = false;
  std::optional<Millis> first_wall_;
  Millis now_;
  std::deque<EngineOrder> orders_;
  std::optional<EngineOrder> refused_;
};

}  // namespace bergamotscale::placement

#endif  // BERGAMOTSCALE_SRC_PLACEMENT_PLACEMENT_FOLD_H_
