// Shares out the weight store's limit among orders to engines.
#ifndef BERGAMOTSCALE_SRC_ENTRY_LOAD_BUDGET_H_
#define BERGAMOTSCALE_SRC_ENTRY_LOAD_BUDGET_H_

#include <vector>

#include "src/entry/settings.h"
#include "src/placement/placement_fold.h"
#include "src/placement/placement_plan.h"

namespace bergamotscale::entry {

// Counts the orders that the log shows, of every holder, and those of this
// process that it doesn't show yet. An order may be begun up to its lifetime
// after it was given, and its fetch may take as long again to reach the store;
// so an order counts for the limit's window and two lifetimes.
// Thread safety: use from one thread.
class LoadBudget {
 public:
  explicit LoadBudget(const PlacementSettings& settings);

  // An order is about to be appended.
  void OnGiven(const placement::EngineOrder& order);
  // The log shows the order, standing or not, or surely won't show it.
  void OnRead(const placement::EngineOrder& order);

  // @return loads that count now, and how many more may be given. Times are
  // wall time.
  int Used(const placement::PlacementFold& fold, Millis now);
  int Left(const placement::PlacementFold& fold, Millis now);

  // Fills ordered_ and unloading_ of the engines with what may still be under
  // way: the last order for each model that has not timed out.
  void MarkOrdered(const placement::PlacementFold& fold,
                   Millis now,
                   std::vector<placement::EngineView>* engines) const;

 private:
  bool MayBeUnderWay(const placement::EngineOrder& order, Millis now) const;

  const PlacementSettings settings_;
  std::vector<placement::EngineOrder> unseen_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_LOAD_BUDGET_H_
