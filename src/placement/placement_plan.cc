#include "src/placement/placement_plan.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

namespace bergamotscale::placement {
namespace {

// Share of an engine's slots that the demand for a model may fill before
// another engine is needed.
constexpr double kMostUsed = 0.7;
// Times the demand per engine by which a model must exceed another to take its
// room. The same swing back is needed for the reverse.
constexpr double kTakeFactor = 1.5;
constexpr double kInfinite = std::numeric_limits<double>::infinity();

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

// @return whether the engine has the model, or is about to.
bool HasOrWill(const EngineView& engine, const ModelId& model) {
  return Contains(engine.models_, model) || Contains(engine.ordered_, model) ||
         Contains(engine.withheld_, model);
}

int LoadOf(const EngineView& engine) {
  int load = 0;
  for (const wire::ModelLoad& each : engine.loads_) {
    load += each.waiting_ + each.running_;
  }
  return load;
}

int LoadOf(const EngineView& engine, const ModelId& model) {
  for (const wire::ModelLoad& each : engine.loads_) {
    if (each.model_ == model) {
      return each.waiting_ + each.running_;
    }
  }
  return 0;
}

// An engine in the plan.
struct EngineState {
  const EngineView* view_ = nullptr;
  int room_ = 0;
  bool busy_ = false;
};

struct ModelState {
  const Model* model_ = nullptr;
  double demand_ = 0;
  // Engines that it should be on, and below which nothing is more urgent.
  int needed_ = 1;
  int least_ = 1;
  // Engines that offer it, and those that have it or are about to.
  int ready_ = 0;
  int supply_ = 0;
  // Engines that are under way with an order for it.
  int ordered_ = 0;
  // Whether some engine has another version.
  bool outdated_ = false;
  // Whether another engine gets it soon.
  bool awaits_ = false;

  bool IsShort() const { return supply_ < needed_; }
  // @return demand per engine.
  double Pressure() const {
    return supply_ < least_ ? kInfinite : demand_ / supply_;
  }
  double PressureWithout() const {
    return ready_ < 2 ? kInfinite : demand_ / (ready_ - 1);
  }
};

// Models with a lower rank go first.
auto RankOf(const ModelState& state) {
  return std::make_tuple(!state.IsShort(), -state.Pressure(), state.supply_,
                         state.ready_);
}

// A loaded model that makes room. Lower ranks go first.
struct Victim {
  EngineState* engine_ = nullptr;
  ModelId model_;
  ModelState* state_ = nullptr;  // null if it is not configured
  std::tuple<bool, double, int, int> rank_;
};

// The orders of one plan.
struct OrderList {
  bool Full() const { return static_cast<int>(orders_.size()) >= budget_; }

  int budget_ = 0;
  std::vector<EngineOrder> orders_;
};

enum class FillChoice { kShortOnly, kAll };

// The plan of one group of engines.
class GroupPlan {
 public:
  // @param room models that an engine has room for; zero for any number.
  // @param list takes the orders; must outlive this, as the engines must.
  GroupPlan(int room, OrderList* list) : room_(room), list_(list) {}

  // Call for all engines before models.
  void AddEngine(const EngineView& engine) {
    EngineState state;
    state.view_ = &engine;
    state.room_ = RoomOf(engine);
    state.busy_ = !engine.ordered_.empty() || !engine.unloading_.empty() ||
                  !engine.withheld_.empty();
    slots_ += engine.slots_;
    const bool frees_room = !engine.unloading_.empty();
    rooms_coming_ += frees_room || (state.busy_ && state.room_ > 0) ? 1 : 0;
    engines_.push_back(state);
  }

  void AddModel(const Model& model, const Demand& demand) {
    ModelState state;
    state.model_ = &model;
    const auto found = demand.find(model.name_);
    state.demand_ = found == demand.end() ? 0 : found->second;
    for (const EngineState& engine : engines_) {
      Count(*engine.view_, &state);
    }
    const int most = std::max(1, static_cast<int>(engines_.size()));
    // A version is replaced while another engine has the model.
    state.least_ = state.outdated_ ? std::min(2, most) : 1;
    state.needed_ =
        std::max(state.least_, std::min(most, EnginesFor(state.demand_)));
    models_.push_back(state);
  }

  // Loads models where there is room, one after the other by rank.
  void FillRoom(FillChoice choice) {
    bool found = true;
    while (found && !list_->Full()) {
      found = false;
      for (ModelState* state : ModelsByRank()) {
        const bool wanted = choice == FillChoice::kAll || state->IsShort();
        EngineState* engine = wanted ? FreeEngine(*state) : nullptr;
        if (engine != nullptr) {
          Load(state, engine);
          found = true;
          break;
        }
      }
    }
  }

  // Unloads for models that are short and found no room. Rooms that are about
  // to be free are for those that come first.
  void MakeRoom() {
    for (ModelState* state : ModelsByRank()) {
      for (int missing = state->needed_ - state->supply_;
           missing > 0 && !list_->Full(); --missing) {
        if (rooms_coming_ > 0) {
          --rooms_coming_;
          state->awaits_ = true;
        } else if (!TakeRoom(state)) {
          break;
        }
      }
    }
  }

  // Replaces versions and adds adapters.
  void Complete() {
    for (ModelState& state : models_) {
      // While one engine is without the model, no other is taken out of
      // service; nor is the only one, if another gets it soon.
      bool may_replace =
          state.ordered_ == 0 && (state.ready_ > 1 || !state.awaits_);
      for (EngineState& engine : engines_) {
        const bool has = Contains(engine.view_->models_, state.model_->name_);
        if (has && !engine.busy_ && !list_->Full()) {
          may_replace = CompleteAt(state, &engine, may_replace);
        }
      }
    }
  }

 private:
  int RoomOf(const EngineView& engine) const {
    if (room_ == 0) {
      return std::numeric_limits<int>::max();
    }
    size_t used = engine.models_.size() + engine.withheld_.size();
    for (const ModelId& model : engine.ordered_) {
      used += Contains(engine.models_, model) ? 0 : 1;
    }
    return room_ - static_cast<int>(used);
  }

  static void Count(const EngineView& engine, ModelState* state) {
    const Model& model = *state->model_;
    const bool offered = Contains(engine.models_, model.name_);
    const bool ordered = Contains(engine.ordered_, model.name_);
    const bool leaves = Contains(engine.unloading_, model.name_);
    state->ordered_ += ordered ? 1 : 0;
    state->ready_ += offered && !ordered && !leaves ? 1 : 0;
    state->supply_ += (offered || ordered) && !leaves ? 1 : 0;
    state->outdated_ =
        state->outdated_ ||
        (offered && !HasVersion(engine, model.name_, model.version_));
  }

  // @return the number of engines that the demand needs.
  int EnginesFor(double demand) const {
    if (slots_ == 0) {
      return 1;
    }
    const double per_engine = slots_ / static_cast<double>(engines_.size());
    const double needed = std::ceil(demand / (per_engine * kMostUsed));
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

  EngineOrder& Add(EngineState* engine,
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

  void Load(ModelState* state, EngineState* engine) {
    const Model& model = *state->model_;
    Add(engine, EngineAction::kLoadModel, model.name_).version_ =
        model.version_;
    --engine->room_;
    ++state->supply_;
    state->awaits_ = true;
  }

  // @return the engine with the least load that has room and lacks the model.
  EngineState* FreeEngine(const ModelState& state) {
    EngineState* best = nullptr;
    for (EngineState& engine : engines_) {
      const bool fits = !engine.busy_ && engine.room_ > 0 &&
                        !HasOrWill(*engine.view_, state.model_->name_);
      if (fits &&
          (best == nullptr || LoadOf(*engine.view_) < LoadOf(*best->view_))) {
        best = &engine;
      }
    }
    return best;
  }

  bool TakeRoom(ModelState* state) {
    const std::optional<Victim> victim = FindVictim(*state);
    if (!victim.has_value()) {
      return false;
    }
    Add(victim->engine_, EngineAction::kUnloadModel, victim->model_);
    if (victim->state_ != nullptr) {
      --victim->state_->ready_;
      --victim->state_->supply_;
    }
    state->awaits_ = true;
    return true;
  }

  std::optional<Victim> FindVictim(const ModelState& taker) {
    std::optional<Victim> best;
    for (EngineState& engine : engines_) {
      const bool suits = !engine.busy_ && engine.room_ <= 0 &&
                         !HasOrWill(*engine.view_, taker.model_->name_);
      if (!suits) {
        continue;
      }
      for (const ModelId& model : engine.view_->models_) {
        std::optional<Victim> victim = VictimAt(&engine, model, taker);
        if (victim.has_value() &&
            (!best.has_value() || victim->rank_ < best->rank_)) {
          best = std::move(victim);
        }
      }
    }
    return best;
  }

  std::optional<Victim> VictimAt(EngineState* engine,
                                 const ModelId& model,
                                 const ModelState& taker) {
    ModelState* state = Find(model);
    const double pressure = state == nullptr ? 0 : state->PressureWithout();
    const bool gives =
        state == nullptr ||
        (state->ready_ > 1 && pressure * kTakeFactor < taker.Pressure());
    if (!gives) {
      return std::nullopt;
    }
    return Victim{
        engine, model, state,
        std::make_tuple(state != nullptr, pressure,
                        LoadOf(*engine->view_, model), LoadOf(*engine->view_))};
  }

  ModelState* Find(const ModelId& model) {
    for (ModelState& state : models_) {
      if (state.model_->name_ == model) {
        return &state;
      }
    }
    return nullptr;
  }

  // @return whether another engine's version may be replaced as well.
  bool CompleteAt(const ModelState& state,
                  EngineState* engine,
                  bool may_replace) {
    const Model& model = *state.model_;
    if (!HasVersion(*engine->view_, model.name_, model.version_)) {
      if (may_replace) {
        Add(engine, EngineAction::kLoadModel, model.name_).version_ =
            model.version_;
      }
      return false;
    }
    for (const std::string& adapter : model.adapters_) {
      if (!HasAdapter(*engine->view_, model.name_, adapter)) {
        EngineOrder& order =
            Add(engine, EngineAction::kLoadAdapter, model.name_);
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
  int rooms_coming_ = 0;
};

// What one group lacks goes before what another has room for.
void RunPlans(std::map<GroupId, GroupPlan>* plans) {
  for (auto& [group, plan] : *plans) {
    plan.FillRoom(FillChoice::kShortOnly);
    plan.MakeRoom();
  }
  for (auto& [group, plan] : *plans) {
    plan.FillRoom(FillChoice::kAll);
  }
  for (auto& [group, plan] : *plans) {
    plan.Complete();
  }
}

}  // namespace

bool Shows(const EngineView& engine, const EngineOrder& order) {
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
