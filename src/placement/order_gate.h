// Lets only orders with the newest fencing number reach an engine, for engines
// that don't check it themselves.
#ifndef BERGAMOTSCALE_SRC_PLACEMENT_ORDER_GATE_H_
#define BERGAMOTSCALE_SRC_PLACEMENT_ORDER_GATE_H_

#include <deque>
#include <optional>

#include "src/placement/records.h"

namespace bergamotscale::placement {

// Holds the standing orders that one engine has not carried out yet, in the
// order of the log. An order gives way to a later one on the same subject, so
// that a sidecar that reads a long stream doesn't repeat its history.
// Thread safety: use from one thread.
class OrderGate {
 public:
  // Takes an order that stands by the fold.
  // @return false if its fence is older than one taken before.
  bool Add(const EngineOrder& order);

  // @return the next order, to be carried out now; it stays until Done().
  const EngineOrder* Next() const;
  // The order was carried out, or can't be.
  void Done();
  // @return whether the order that Next() gave has been replaced meanwhile, or
  // its fence is no longer the newest: it must not be sent again.
  bool IsStale(const EngineOrder& order) const;

 private:
  std::deque<EngineOrder> waiting_;
  std::optional<Fence> newest_;
};

}  // namespace bergamotscale::placement

#endif  // BERGAMOTSCALE_SRC_PLACEMENT_ORDER_GATE_H_
