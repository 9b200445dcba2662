#include "src/placement/placement_plan.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

namespace bergamotscale::placement {
namespace {

// Share of an engine's slots that a model's demand may use before another
// engine is needed.
constexpr double kMaxSlotShare = 0.7;
// Factor by which a model's demand per engine must exceed that of the model it
// evicts. Keeps two models from evicting each other in turn.
constexpr double kEvictionFactor = 1.5;
constexpr double kInfinite = std::numeric_limits<double>::infinity();

template <typename T>
bool Contains(const std::vector<T>& list, const T& item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

// @return the reported version and adapters of the model, or null.
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

// @return whether the engine has the model or an order to load it.
bool HasOrAwaits(const EngineView& engine, const ModelId& model) {
  return Contains(engine.models_, model) ||
         Contains(engine.pending_loads_, model) ||
         Contains(engine.withheld_, model);
}

int CountRequests(const EngineView& engine) {
  int load = 0;
  for (const wire::ModelLoad& each : engine.loads_) {
    load += each.waiting_ + each.running_;
  }
  return load;
}

int CountRequests(const EngineView& engine, const ModelId& model) {
  for (const wire::ModelLoad& each : engine.loads_) {
    if (each.model_ == model) {
      return each.waiting_ + each.running_;
    }
  }
  return 0;
}

// Planning state of one engine.
struct EngineState {
  const EngineView* view_ = nullptr;
  int free_room_ = 0;
  bool busy_ = false;
};

struct ModelState {
  const Model* model_ = nullptr;
  double demand_ = 0;
  // Engines that its demand needs, and the minimum below which it ranks first.
  int needed_engines_ = 1;
  int min_engines_ = 1;
  // Engines on which it is available, and engines that have it or are about to.
  int ready_engines_ = 0;
  int supplied_engines_ = 0;
  // Engines with a pending order for it.
  int pending_orders_ = 0;
  // Whether an engine has another version of it.
  bool has_outdated_ = false;
  // Whether this plan, or room about to be freed, gives it another engine.
  bool load_pending_ = false;

  bool IsUnderprovisioned() const {
    return supplied_engines_ < needed_engines_;
  }
  // @return demand per engine.
  double DemandPerEngine() const {
    return supplied_engines_ < min_engines_ ? kInfinite
                                            : demand_ / supplied_engines_;
  }
  double DemandPerRemainingEngine() const {
    return ready_engines_ < 2 ? kInfinite : demand_ / (ready_engines_ - 1);
  }
};

// Models with a lower rank are loaded first.
auto RankOf(const ModelState& state) {
  return std::make_tuple(!state.IsUnderprovisioned(), -state.DemandPerEngine(),
                         state.supplied_engines_, state.ready_engines_);
}

// A loaded model that could be evicted. Lower ranks are evicted first.
struct EvictionCandidate {
  EngineState* engine_ = nullptr;
  ModelId model_;
  ModelState* state_ = nullptr;  // null if it is not configured
  std::tuple<bool, double, int, int> rank_;
};

// The orders of one plan, limited by a budget.
struct OrderList {
  bool IsFull() const { return static_cast<int>(orders_.size()) >= budget_; }

  int budget_ = 0;
  std::vector<EngineOrder> orders_;
};

enum class FillChoice { kUnderprovisionedOnly, kAll };

// The plan of one group of engines.
class GroupPlan {
 public:
  // @param room the number of models that fit on an engine; zero for no limit.
  // @param list receives the orders. It and all engines must outlive this.
  GroupPlan(int room, OrderList* list) : room_(room), list_(list) {}

  // Add all engines before the first model.
  void AddEngine(const EngineView& engine) {
    EngineState state;
    state.view_ = &engine;
    state.free_room_ = FreeRoomOf(engine);
    state.busy_ = !engine.pending_loads_.empty() ||
                  !engine.pending_unloads_.empty() || !engine.withheld_.empty();
    slots_ += engine.slots_;
    const bool frees_room = !engine.pending_unloads_.empty();
    pending_rooms_ +=
        frees_room || (state.busy_ && state.free_room_ > 0) ? 1 : 0;
    engines_.push_back(state);
  }

  void AddModel(const Model& model, const Demand& demand) {
    ModelState state;
    state.model_ = &model;
    const auto found = demand.find(model.name_);
    state.demand_ = found == demand.end() ? 0 : found->second;
    for (const EngineState& engine : engines_) {
      CountEngine(*engine.view_, &state);
    }
    const int max_engines = std::max(1, static_cast<int>(engines_.size()));
    // A version can only be replaced while another engine has the model.
    state.min_engines_ = state.has_outdated_ ? std::min(2, max_engines) : 1;
    state.needed_engines_ = std::max(
        state.min_engines_, std::min(max_engines, EnginesFor(state.demand_)));
    models_.push_back(state);
  }

  // Loads models into free room, one at a time by rank.
  void LoadIntoFreeRoom(FillChoice choice) {
    bool found = true;
    while (found && !list_->IsFull()) {
      found = false;
      for (ModelState* state : ModelsByRank()) {
        const bool wanted =
            choice == FillChoice::kAll || state->IsUnderprovisioned();
        EngineState* engine = wanted ? FindFreeEngine(*state) : nullptr;
        if (engine != nullptr) {
          AddLoad(state, engine);
          found = true;
          break;
        }
      }
    }
  }

  // Evicts models to make room for models on too few engines. Room that is
  // already being freed is assigned by rank first.
  void EvictForUnderprovisioned() {
    for (ModelState* state : ModelsByRank()) {
      for (int missing = state->needed_engines_ - state->supplied_engines_;
           missing > 0 && !list_->IsFull(); --missing) {
        if (pending_rooms_ > 0) {
          --pending_rooms_;
          state->load_pending_ = true;
        } else if (!EvictFor(state)) {
          break;
        }
      }
    }
  }

  // Replaces versions and adds adapters.
  void UpdateLoadedModels() {
    for (ModelState& state : models_) {
      // A reload takes the engine out of service for the model. So none is
      // replaced while another engine has a pending order for the model, and
      // the only engine with the model waits if another is about to get it.
      bool may_replace = state.pending_orders_ == 0 &&
                         (state.ready_engines_ > 1 || !state.load_pending_);
      for (EngineState& engine : engines_) {
        const bool has = Contains(engine.view_->models_, state.model_->name_);
        if (has && !engine.busy_ && !list_->IsFull()) {
          may_replace = UpdateEngine(state, &engine, may_replace);
        }
      }
    }
  }

 private:
  int FreeRoomOf(const EngineView& engine) const {
    if (room_ == 0) {
      return std::numeric_limits<int>::max();
    }
    size_t used = engine.models_.size() + engine.withheld_.size();
    for (const ModelId& model : engine.pending_loads_) {
      used += Contains(engine.models_, model) ? 0 : 1;
    }
    return room_ - static_cast<int>(used);
  }

  static void CountEngine(const EngineView& engine, ModelState* state) {
    const Model& model = *state->model_;
    const bool offered = Contains(engine.models_, model.name_);
    const bool ordered = Contains(engine.pending_loads_, model.name_);
    const bool unloading = Contains(engine.pending_unloads_, model.name_);
    state->pending_orders_ += ordered ? 1 : 0;
    state->ready_engines_ += offered && !ordered && !unloading ? 1 : 0;
    state->supplied_engines_ += (offered || ordered) && !unloading ? 1 : 0;
    state->has_outdated_ =
        state->has_outdated_ ||
        (offered && !HasVersion(engine, model.name_, model.version_));
  }

  // @return the number of engines that the demand needs.
  int EnginesFor(double demand) const {
    if (slots_ == 0) {
      return 1;
    }
    const double per_engine = slots_ / static_cast<double>(engines_.size());
    const double needed = std::ceil(demand / (per_engine * kMaxSlotShare));
    return static_cast<int>(
        std::min(needed, static_cast<double>(engines_.size())));
  }

  std::vector<ModelState*> ModelsByRank() {
    std::vector<ModelState*> ranked;
    for (ModelState& state : models_) {
      ranked.push_back(&state);
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const ModelState* a, const ModelState* b) {
                       return RankOf(*a) < RankOf(*b);
                     });
    return ranked;
  }

  EngineOrder& AddOrder(EngineState* engine,
                        EngineAction action,
                        const ModelId& model) {
    engine->busy_ = true;
    EngineOrder order;
    order.sidecar_ = engine->view_->sidecar_;
    order.action_ = action;
    order.model_ = model;
    list_->orders_.push_back(std::move(order));
    return list_->orders_.back();
  }

  void AddLoad(ModelState* state, EngineState* engine) {
    const Model& model = *state->model_;
    AddOrder(engine, EngineAction::kLoadModel, model.name_).version_ =
        model.version_;
    --engine->free_room_;
    ++state->supplied_engines_;
    state->load_pending_ = true;
  }

  // @return the engine with the fewest requests that has free room and lacks
  // the model, or null.
  EngineState* FindFreeEngine(const ModelState& state) {
    EngineState* best = nullptr;
    for (EngineState& engine : engines_) {
      const bool fits = !engine.busy_ && engine.free_room_ > 0 &&
                        !HasOrAwaits(*engine.view_, state.model_->name_);
      if (fits && (best == nullptr || CountRequests(*engine.view_) <
                                          CountRequests(*best->view_))) {
        best = &engine;
      }
    }
    return best;
  }

  bool EvictFor(ModelState* state) {
    const std::optional<EvictionCandidate> candidate =
        FindEvictionCandidate(*state);
    if (!candidate.has_value()) {
      return false;
    }
    AddOrder(candidate->engine_, EngineAction::kUnloadModel, candidate->model_);
    if (candidate->state_ != nullptr) {
      --candidate->state_->ready_engines_;
      --candidate->state_->supplied_engines_;
    }
    state->load_pending_ = true;
    return true;
  }

  std::optional<EvictionCandidate> FindEvictionCandidate(
      const ModelState& requester) {
    std::optional<EvictionCandidate> best;
    for (EngineState& engine : engines_) {
      const bool is_eligible =
          !engine.busy_ && engine.free_room_ <= 0 &&
          !HasOrAwaits(*engine.view_, requester.model_->name_);
      if (!is_eligible) {
        continue;
      }
      for (const ModelId& model : engine.view_->models_) {
        std::optional<EvictionCandidate> candidate =
            MakeEvictionCandidate(&engine, model, requester);
        if (candidate.has_value() &&
            (!best.has_value() || candidate->rank_ < best->rank_)) {
          best = std::move(candidate);
        }
      }
    }
    return best;
  }

  std::optional<EvictionCandidate> MakeEvictionCandidate(
      EngineState* engine,
      const ModelId& model,
      const ModelState& requester) {
    ModelState* state = FindState(model);
    const double demand_per_engine =
        state == nullptr ? 0 : state->DemandPerRemainingEngine();
    const bool may_evict =
        state == nullptr ||
        (state->ready_engines_ > 1 &&
         demand_per_engine * kEvictionFactor < requester.DemandPerEngine());
    if (!may_evict) {
      return std::nullopt;
    }
    return EvictionCandidate{
        engine, model, state,
        std::make_tuple(state != nullptr, demand_per_engine,
                        CountRequests(*engine->view_, model),
                        CountRequests(*engine->view_))};
  }

  ModelState* FindState(const ModelId& model) {
    for (ModelState& state : models_) {
      if (state.model_->name_ == model) {
        return &state;
      }
    }
    return nullptr;
  }

  // @return whether another engine's version may still be replaced in this
  // plan.
  bool UpdateEngine(const ModelState& state,
                    EngineState* engine,
                    bool may_replace) {
    const Model& model = *state.model_;
    if (!HasVersion(*engine->view_, model.name_, model.version_)) {
      if (may_replace) {
        AddOrder(engine, EngineAction::kLoadModel, model.name_).version_ =
            model.version_;
      }
      return false;
    }
    for (const std::string& adapter : model.adapters_) {
      if (!HasAdapter(*engine->view_, model.name_, adapter)) {
        EngineOrder& order =
            AddOrder(engine, EngineAction::kLoadAdapter, model.name_);
        order.version_ = model.version_;
        order.adapter_ = adapter;
        break;
      }
    }
    return may_replace;
  }

  const int room_;
  OrderList* const list_;
  std::vector<EngineState> engines_;
  std::vector<ModelState> models_;
  double slots_ = 0;
  // Engines with pending orders that have free room or are about to have it.
  int pending_rooms_ = 0;
};

// Models on too few engines of any group use the budget before other loads.
void RunPlans(std::map<GroupId, GroupPlan>* plans) {
  for (auto& [group, plan] : *plans) {
    plan.LoadIntoFreeRoom(FillChoice::kUnderprovisionedOnly);
    plan.EvictForUnderprovisioned();
  }
  for (auto& [group, plan] : *plans) {
    plan.LoadIntoFreeRoom(FillChoice::kAll);
  }
  for (auto& [group, plan] : *plans) {
    plan.UpdateLoadedModels();
  }
}

}  // namespace

bool ReflectsOrder(const EngineView& engine, const EngineOrder& order) {
  if (order.action_ == EngineAction::kUnloadModel) {
    return !Contains(engine.models_, order.model_) &&
           !Contains(engine.withheld_, order.model_);
  }
  if (order.action_ == EngineAction::kLoadAdapter) {
    return HasAdapter(engine, order.model_, order.adapter_);
  }
  return Contains(engine.models_, order.model_) &&
         HasVersion(engine, order.model_, order.version_);
}

std::vector<EngineOrder> PlanOrders(const ConfigDocument& config,
                                    const std::vector<EngineView>& engines,
                                    int budget,
                                    const Demand& demand) {
  OrderList list;
  list.budget_ = budget;
  std::map<GroupId, GroupPlan> plans;
  for (const Model& model : config.models_) {
    const UpstreamGroup* group = config.FindGroup(model.group_);
    const int room = group == nullptr ? 0 : group->models_per_engine_;
    plans.emplace(model.group_, GroupPlan(room, &list));
  }
  for (const EngineView& engine : engines) {
    const auto plan = plans.find(engine.group_);
    if (engine.accepting_ && plan != plans.end()) {
      plan->second.AddEngine(engine);
    }
  }
  for (const Model& model : config.models_) {
    plans.at(model.group_).AddModel(model, demand);
  }
  RunPlans(&plans);
  return std::move(list.orders_);
}

}  // namespace bergamotscale::placement
