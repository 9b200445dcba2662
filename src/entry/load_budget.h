// Limits the model loads that the placement controller orders.
#ifndef BERGAMOTSCALE_SRC_ENTRY_LOAD_BUDGET_H_
#define BERGAMOTSCALE_SRC_ENTRY_LOAD_BUDGET_H_

#include <vector>

#include "src/entry/settings.h"
#include "src/placement/placement_fold.h"
#include "src/placement/placement_plan.h"

namespace bergamotscale::entry {

// Keeps the loads within the weight store's rate limit. Counts the engine
// orders of all lease holders in the log, and the orders of this process that
// have not been read back from the log yet. An engine may start an order up to
// one order lifetime after it was issued, and its fetch may take as long again
// to reach the store. An order therefore counts for the limit's window plus two
// lifetimes. Thread safety: use from one thread.
class LoadBudget {
 public:
  explicit LoadBudget(const PlacementSettings& settings);

  // Call before an order is appended to the log.
  void OnOrderIssued(const placement::EngineOrder& order);
  // Call when the order was read from the log, valid or not, or when it is
  // certain that it was not appended.
  void OnOrderRead(const placement::EngineOrder& order);

  // @return the number of loads that count at `now`, and how many more may be
  // ordered. Times are wall time.
  int UsedLoads(const placement::PlacementFold& fold, Millis now);
  int RemainingLoads(const placement::PlacementFold& fold, Millis now);

  // Sets pending_loads_ and pending_unloads_ of the engines to the models with
  // a pending order: the last order for the model, if it has not timed out.
  void MarkPendingOrders(const placement::PlacementFold& fold,
                         Millis now,
                         std::vector<placement::EngineView>* engines) const;

 private:
  bool MayBePending(const placement::EngineOrder& order, Millis now) const;

  const PlacementSettings settings_;
  std::vector<placement::EngineOrder> unconfirmed_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_LOAD_BUDGET_H_
