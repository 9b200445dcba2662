#include "src/placement/placement_plan.h"

#include <algorithm>

namespace bergamotscale::placement {
namespace {

struct Missing {
  const EngineView* engine_;
  ModelId model_;
  int copies_;
};

bool Contains(const std::vector<ModelId>& models, const ModelId& model) {
  return std::find(models.begin(), models.end(), model) != models.end();
}

int CopiesOf(const Model& model, const std::vector<EngineView>& engines) {
  return static_cast<int>(std::count_if(
      engines.begin(), engines.end(), [&model](const EngineView& engine) {
        return engine.group_ == model.group_ &&
               (Contains(engine.models_, model.name_) ||
                Contains(engine.ordered_, model.name_));
      }));
}

std::vector<Missing> FindMissing(const ConfigDocument& config,
                                 const std::vector<EngineView>& engines) {
  std::vector<Missing> missing;
  for (const Model& model : config.models_) {
    const int copies = CopiesOf(model, engines);
    for (const EngineView& engine : engines) {
      const bool wanted = engine.accepting_ && engine.ordered_.empty() &&
                          engine.group_ == model.group_ &&
                          !Contains(engine.models_, model.name_);
      if (wanted) {
        missing.push_back({&engine, model.name_, copies});
      }
    }
  }
  std::stable_sort(
      missing.begin(), missing.end(),
      [](const Missing& a, const Missing& b) { return a.copies_ < b.copies_; });
  return missing;
}

}  // namespace

std::vector<EngineOrder> PlanLoads(const ConfigDocument& config,
                                   const std::vector<EngineView>& engines,
                                   int budget) {
  std::vector<EngineOrder> orders;
  std::vector<InstanceId> busy;
  for (const Missing& item : FindMissing(config, engines)) {
    const InstanceId& sidecar = item.engine_->sidecar_;
    const bool taken =
        std::find(busy.begin(), busy.end(), sidecar) != busy.end();
    if (taken || static_cast<int>(orders.size()) >= budget) {
      continue;
    }
    busy.push_back(sidecar);
    EngineOrder order;
    order.sidecar_ = sidecar;
    order.action_ = EngineAction::kLoadModel;
    order.model_ = item.model_;
    orders.push_back(order);
  }
  return orders;
}

}  // namespace bergamotscale::placement
