#include "src/entry/load_budget.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace bergamotscale::entry {
namespace {

using placement::EngineOrder;
using placement::EngineView;

bool Same(const EngineOrder& a, const EngineOrder& b) {
  return std::tie(a.fence_, a.sidecar_, a.model_, a.adapter_, a.wall_) ==
         std::tie(b.fence_, b.sidecar_, b.model_, b.adapter_, b.wall_);
}

template <typename Predicate>
void EraseIf(std::vector<EngineOrder>* orders, Predicate predicate) {
  orders->erase(std::remove_if(orders->begin(), orders->end(), predicate),
                orders->end());
}

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
  return fold.LoadsSince(since) + static_cast<int>(unseen_.size());
}

int LoadBudget::Left(const placement::PlacementFold& fold, Millis now) {
  return std::max(0, settings_.weight_fetches_ - Used(fold, now));
}

void LoadBudget::MarkOrdered(const placement::PlacementFold& fold,
                             Millis now,
                             std::vector<EngineView>* engines) const {
  std::map<InstanceId, EngineView*> by_sidecar;
  for (EngineView& engine : *engines) {
    by_sidecar[engine.sidecar_] = &engine;
  }
  const auto mark = [&](const EngineOrder& order) {
    const auto found = by_sidecar.find(order.sidecar_);
    if (found == by_sidecar.end() ||
        order.wall_ + settings_.load_timeout_ < now) {
      return;
    }
    if (!Shows(*found->second, order)) {
      found->second->ordered_.push_back(order.model_);
    }
  };
  std::for_each(fold.loads().begin(), fold.loads().end(), mark);
  std::for_each(unseen_.begin(), unseen_.end(), mark);
}

}  // namespace bergamotscale::entry
