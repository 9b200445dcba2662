#include "src/placement/placement_plan.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace bergamotscale::placement {
namespace {

// One load that an engine lacks. Lower ranks go first.
struct Missing {
  EngineOrder order_;
  int rank_;
  bool replaces_;
};

// Adapters and other versions come after models that are missing.
constexpr int kLastRank = 1 << 30;

template <typename T>
bool Contains(const std::vector<T>& list, const T& item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

// @return what the engine reports of the model beside its name, or null.
const wire::LoadedModel* FindLoaded(const EngineView& engine,
                                    const ModelId& model) {
  for (const wire::LoadedModel& loaded : engine.loaded_) {
    if (loaded.model_ == model) {
      return &loaded;
    }
  }
  return nullptr;
}

bool HasVersion(const EngineView& engine,
                const ModelId& model,
                const std::string& version) {
  const wire::LoadedModel* loaded = FindLoaded(engine, model);
  return version.empty() || (loaded != nullptr && loaded->version_ == version);
}

bool HasAdapter(const EngineView& engine,
                const ModelId& model,
                const std::string& adapter) {
  const wire::LoadedModel* loaded = FindLoaded(engine, model);
  return loaded != nullptr && Contains(loaded->adapters_, adapter);
}

// What the group's engines have of one model.
struct Copies {
  int loaded_ = 0;
  int ordered_ = 0;
};

Copies CopiesOf(const Model& model, const std::vector<EngineView>& engines) {
  Copies copies;
  for (const EngineView& engine : engines) {
    if (engine.group_ != model.group_) {
      continue;
    }
    copies.loaded_ += Contains(engine.models_, model.name_) ? 1 : 0;
    copies.ordered_ += Contains(engine.ordered_, model.name_) ? 1 : 0;
  }
  return copies;
}

std::optional<Missing> FirstMissing(const Model& model,
                                    const EngineView& engine,
                                    const Copies& copies) {
  EngineOrder order;
  order.sidecar_ = engine.sidecar_;
  order.model_ = model.name_;
  order.version_ = model.version_;
  if (!Contains(engine.models_, model.name_)) {
    return Missing{order, copies.loaded_ + copies.ordered_, false};
  }
  if (!HasVersion(engine, model.name_, model.version_)) {
    return Missing{order, kLastRank, true};
  }
  for (const std::string& adapter : model.adapters_) {
    if (!HasAdapter(engine, model.name_, adapter)) {
      order.action_ = EngineAction::kLoadAdapter;
      order.adapter_ = adapter;
      return Missing{order, kLastRank, false};
    }
  }
  return std::nullopt;
}

void AddMissing(const Model& model,
                const std::vector<EngineView>& engines,
                std::vector<Missing>* missing) {
  const Copies copies = CopiesOf(model, engines);
  // While one copy is away, no other is taken out of service.
  bool may_replace = copies.ordered_ == 0;
  for (const EngineView& engine : engines) {
    if (engine.group_ != model.group_ || !engine.accepting_ ||
        !engine.ordered_.empty()) {
      continue;
    }
    std::optional<Missing> found = FirstMissing(model, engine, copies);
    if (!found.has_value() || (found->replaces_ && !may_replace)) {
      continue;
    }
    may_replace = may_replace && !found->replaces_;
    missing->push_back(*std::move(found));
  }
}

}  // namespace

bool Shows(const EngineView& engine, const EngineOrder& order) {
  if (order.action_ == EngineAction::kLoadAdapter) {
    return HasAdapter(engine, order.model_, order.adapter_);
  }
  return Contains(engine.models_, order.model_) &&
         HasVersion(engine, order.model_, order.version_);
}

std::vector<EngineOrder> PlanLoads(const ConfigDocument& config,
                                   const std::vector<EngineView>& engines,
                                   int budget) {
  std::vector<Missing> missing;
  for (const Model& model : config.models_) {
    AddMissing(model, engines, &missing);
  }
  std::stable_sort(
      missing.begin(), missing.end(),
      [](const Missing& a, const Missing& b) { return a.rank_ < b.rank_; });
  std::vector<EngineOrder> orders;
  std::vector<InstanceId> busy;
  for (const Missing& item : missing) {
    if (static_cast<int>(orders.size()) >= budget) {
      break;
    }
    if (!Contains(busy, item.order_.sidecar_)) {
      busy.push_back(item.order_.sidecar_);
      orders.push_back(item.order_);
    }
  }
  return orders;
}

}  // namespace bergamotscale::placement
