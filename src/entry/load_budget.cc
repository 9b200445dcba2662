#include "src/entry/load_budget.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace bergamotscale::entry {
namespace {

using placement::EngineAction;
using placement::EngineOrder;
using placement::EngineView;

bool Same(const EngineOrder& a, const EngineOrder& b) {
  return std::tie(a.fence_, a.sidecar_, a.action_, a.model_, a.adapter_,
                  a.wall_) == std::tie(b.fence_, b.sidecar_, b.action_,
                                       b.model_, b.adapter_, b.wall_);
}

template <typename Predicate>
void EraseIf(std::vector<EngineOrder>* orders, Predicate predicate) {
  orders->erase(std::remove_if(orders->begin(), orders->end(), predicate),
                orders->end());
}

// The orders that no later one has made void, by engine. Pointers to orders
// that outlive this.
class NewestOrders {
 public:
  void Take(const EngineOrder& order) {
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

  void Mark(EngineView* engine) const {
    const auto found = orders_.find(engine->sidecar_);
    if (found == orders_.end()) {
      return;
    }
    for (const EngineOrder* order : found->second) {
      if (!Shows(*engine, *order)) {
        const bool unloads = order->action_ == EngineAction::kUnloadModel;
        (unloads ? engine->unloading_ : engine->ordered_)
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

void LoadBudget::OnGiven(const EngineOrder& order) {
  unseen_.push_back(order);
}

void LoadBudget::OnRead(const EngineOrder& order) {
  EraseIf(&unseen_,
          [&order](const EngineOrder& known) { return Same(known, order); });
}

int LoadBudget::Used(const placement::PlacementFold& fold, Millis now) {
  const Millis since =
      now - settings_.weight_window_ - settings_.order_lifetime_ * 2;
  EraseIf(&unseen_,
          [since](const EngineOrder& known) { return known.wall_ < since; });
  return fold.LoadsSince(since) +
         static_cast<int>(std::count_if(unseen_.begin(), unseen_.end(),
                                        &placement::FetchesWeights));
}

int LoadBudget::Left(const placement::PlacementFold& fold, Millis now) {
  return std::max(0, settings_.weight_fetches_ - Used(fold, now));
}

bool LoadBudget::MayBeUnderWay(const EngineOrder& order, Millis now) const {
  const bool unloads = order.action_ == EngineAction::kUnloadModel;
  const Millis begins = unloads ? settings_.order_lifetime_ : Millis(0);
  return order.wall_ + begins + settings_.load_timeout_ >= now;
}

void LoadBudget::MarkOrdered(const placement::PlacementFold& fold,
                             Millis now,
                             std::vector<EngineView>* engines) const {
  NewestOrders newest;
  const auto take = [&](const EngineOrder& order) {
    if (MayBeUnderWay(order, now)) {
      newest.Take(order);
    }
  };
  std::for_each(fold.orders().begin(), fold.orders().end(), take);
  std::for_each(unseen_.begin(), unseen_.end(), take);
  for (EngineView& engine : *engines) {
    newest.Mark(&engine);
  }
}

}  // namespace bergamotscale::entry
