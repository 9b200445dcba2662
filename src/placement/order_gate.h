// Passes only orders with the newest fencing number to an engine, for engines
// that don't check it themselves.
#ifndef BERGAMOTSCALE_SRC_PLACEMENT_ORDER_GATE_H_
#define BERGAMOTSCALE_SRC_PLACEMENT_ORDER_GATE_H_

#include <deque>
#include <optional>

#include "src/placement/records.h"

namespace bergamotscale::placement {

// Queue of the valid orders that one engine has not executed yet, in log order.
// A later order for the same model and adapter, or for the role, replaces an
// earlier one, so that a sidecar that starts late doesn't replay the whole
// stream.
// Thread safety: use from one thread.
class OrderGate {
 public:
  // Adds an order that the fold accepted.
  // @return false if its fence is older than that of an earlier order.
  bool Add(const EngineOrder& order);

  // @return the next order to execute, or null; it stays until FinishNext().
  const EngineOrder* Next() const;
  // Removes the next order: it was executed, or can't be.
  void FinishNext();
  // @return whether an order returned by Next() has since been replaced or its
  // fence is no longer the newest; it must not be retried.
  bool IsStale(const EngineOrder& order) const;

 private:
  std::deque<EngineOrder> pending_;
  std::optional<lease::Fence> newest_fence_;
};

}  // namespace bergamotscale::placement

#endif  // BERGAMOTSCALE_SRC_PLACEMENT_ORDER_GATE_H_
