#include "src/entry/load_budget.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace bergamotscale::entry {
namespace {

using placement::EngineAction;
using placement::EngineOrder;
using placement::EngineView;

bool IsSameOrder(const EngineOrder& a, const EngineOrder& b) {
  return std::tie(a.fence_, a.sidecar_, a.action_, a.model_, a.adapter_,
                  a.wall_) == std::tie(b.fence_, b.sidecar_, b.action_,
                                       b.model_, b.adapter_, b.wall_);
}

template <typename Predicate>
void EraseIf(std::vector<EngineOrder>* orders, Predicate predicate) {
  orders->erase(std::remove_if(orders->begin(), orders->end(), predicate),
                orders->end());
}

// The orders of each engine that no later order has superseded. Holds pointers;
// the orders must outlive this.
class NewestOrders {
 public:
  void Add(const EngineOrder& order) {
    std::vector<const EngineOrder*>& orders = orders_[order.sidecar_];
    if (order.action_ != EngineAction::kLoadAdapter) {
      orders.erase(std::remove_if(orders.begin(), orders.end(),
                                  [&order](const EngineOrder* earlier) {
                                    return earlier->model_ == order.model_;
                                  }),
                   orders.end());
    }
    orders.push_back(&order);
  }

  void MarkEngine(EngineView* engine) const {
    const auto found = orders_.find(engine->sidecar_);
    if (found == orders_.end()) {
      return;
    }
    for (const EngineOrder* order : found->second) {
      if (!ReflectsOrder(*engine, *order)) {
        const bool unloads = order->action_ == EngineAction::kUnloadModel;
        (unloads ? engine->pending_unloads_ : engine->pending_loads_)
            .push_back(order->model_);
      }
    }
  }

 private:
  std::map<InstanceId, std::vector<const EngineOrder*>> orders_;
};

}  // namespace

LoadBudget::LoadBudget(const PlacementSettings& settings)
    : settings_(settings) {}

void LoadBudget::OnOrderIssued(const EngineOrder& order) {
  unconfirmed_.push_back(order);
}

void LoadBudget::OnOrderRead(const EngineOrder& order) {
  EraseIf(&unconfirmed_, [&order](const EngineOrder& known) {
    return IsSameOrder(known, order);
  });
}

int LoadBudget::UsedLoads(const placement::PlacementFold& fold, Millis now) {
  const Millis since =
      now - settings_.weight_window_ - settings_.order_lifetime_ * 2;
  EraseIf(&unconfirmed_,
          [since](const EngineOrder& known) { return known.wall_ < since; });
  return fold.CountLoadsSince(since) +
         static_cast<int>(std::count_if(unconfirmed_.begin(),
                                        unconfirmed_.end(),
                                        &placement::FetchesWeights));
}

int LoadBudget::RemainingLoads(const placement::PlacementFold& fold,
                               Millis now) {
  return std::max(0, settings_.weight_fetches_ - UsedLoads(fold, now));
}

bool LoadBudget::MayBePending(const EngineOrder& order, Millis now) const {
  const bool unloads = order.action_ == EngineAction::kUnloadModel;
  const Millis begins = unloads ? settings_.order_lifetime_ : Millis(0);
  return order.wall_ + begins + settings_.load_timeout_ >= now;
}

void LoadBudget::MarkPendingOrders(const placement::PlacementFold& fold,
                                   Millis now,
                                   std::vector<EngineView>* engines) const {
  NewestOrders newest;
  const auto add = [&](const EngineOrder& order) {
    if (MayBePending(order, now)) {
      newest.Add(order);
    }
  };
  std::for_each(fold.orders().begin(), fold.orders().end(), add);
  std::for_each(unconfirmed_.begin(), unconfirmed_.end(), add);
  for (EngineView& engine : *engines) {
    newest.MarkEngine(&engine);
  }
}

}  // namespace bergamotscale::entry
