// Runs the planner repeatedly on small simulated fleets with changing demand.
#include "src/placement/placement_plan.h"

#include <algorithm>
#include <random>
#include <string>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "src/placement/model_demand.h"
#include "tests/property.h"

namespace bergamotscale::placement {
namespace {

constexpr int kSlots = 10;
constexpr int kSteps = 400;
constexpr int kQuietSteps = 100;

// Engines of one group that execute orders after a random number of steps.
class Fleet {
 public:
  Fleet(int engines, int room, int models, uint64_t seed) : random_(seed) {
    config_.groups_ = {
        {GroupId("g"), GroupKind::kEngine, /*checks_fence_=*/false, room}};
    for (int index = 0; index < models; ++index) {
      config_.models_.push_back({Name(index), GroupId("g")});
    }
    engines_.resize(engines);
    for (int index = 0; index < engines; ++index) {
      engines_[index].sidecar_ = InstanceId(std::to_string(index));
      engines_[index].group_ = GroupId("g");
      engines_[index].accepting_ = true;
      engines_[index].slots_ = kSlots;
    }
  }

  // @return a fleet with random models on its engines, some not configured.
  static Fleet Random(uint64_t seed) {
    std::mt19937_64 random(seed);
    const int engines = 2 + static_cast<int>(random() % 7);
    const int room = 1 + static_cast<int>(random() % 3);
    const auto most = static_cast<uint64_t>(engines) * room;
    const int models = 1 + static_cast<int>(random() % most);
    Fleet fleet(engines, room, models, seed);
    for (EngineView& engine : fleet.engines_) {
      for (int index = 0; index < room; ++index) {
        const ModelId model = Name(static_cast<int>(random() % (models + 2)));
        if (!Has(engine.models_, model)) {
          engine.models_.push_back(model);
        }
      }
    }
    for (int index = 0; index < models; ++index) {
      fleet.SetDemand(index, static_cast<double>(random() % 40));
    }
    return fleet;
  }

  static ModelId Name(int index) {
    return ModelId("model-" + std::to_string(index));
  }

  void SetDemand(int index, double slots) { demand_[Name(index)] = slots; }
  const Demand& demand() const { return demand_; }
  int models() const { return static_cast<int>(config_.models_.size()); }

  int Copies(const ModelId& model) const {
    return static_cast<int>(std::count_if(engines_.begin(), engines_.end(),
                                          [&model](const EngineView& engine) {
                                            return Has(engine.models_, model);
                                          }));
  }

  // Plans for the demand, sends the orders and executes some of them.
  // @return the number of orders.
  int Step(const Demand& demand) {
    const std::vector<EngineOrder> orders = PlanOrders(
        config_, engines_, 1 + static_cast<int>(random_() % 4), demand);
    for (const EngineOrder& order : orders) {
      EngineView& engine = engines_[std::stoi(order.sidecar_.value())];
      RC_ASSERT(engine.pending_loads_.empty() &&
                engine.pending_unloads_.empty());
      const bool unloads = order.action_ == EngineAction::kUnloadModel;
      (unloads ? engine.pending_unloads_ : engine.pending_loads_)
          .push_back(order.model_);
    }
    CheckInvariants();
    for (EngineView& engine : engines_) {
      if (random_() % 3 == 0) {
        ApplyPendingOrders(&engine);
      }
    }
    CheckInvariants();
    return static_cast<int>(orders.size());
  }

 private:
  static bool Has(const std::vector<ModelId>& list, const ModelId& model) {
    return std::find(list.begin(), list.end(), model) != list.end();
  }

  static void ApplyPendingOrders(EngineView* engine) {
    for (const ModelId& model : engine->pending_unloads_) {
      engine->models_.erase(
          std::remove(engine->models_.begin(), engine->models_.end(), model),
          engine->models_.end());
    }
    engine->models_.insert(engine->models_.end(),
                           engine->pending_loads_.begin(),
                           engine->pending_loads_.end());
    engine->pending_unloads_.clear();
    engine->pending_loads_.clear();
  }

  // Checks that no engine exceeds its room and no configured model loses its
  // last engine.
  void CheckInvariants() {
    const auto room =
        static_cast<size_t>(config_.groups_[0].models_per_engine_);
    for (const EngineView& engine : engines_) {
      RC_ASSERT(engine.models_.size() + engine.pending_loads_.size() <= room);
    }
    for (const Model& model : config_.models_) {
      bool ready = false;
      for (const EngineView& engine : engines_) {
        ready = ready || (Has(engine.models_, model.name_) &&
                          !Has(engine.pending_unloads_, model.name_));
      }
      bool& was_ready = was_ready_[model.name_];
      RC_ASSERT(ready || !was_ready);
      was_ready = ready;
    }
  }

  std::mt19937_64 random_;
  ConfigDocument config_;
  std::vector<EngineView> engines_;
  Demand demand_;
  std::map<ModelId, bool> was_ready_;
};

}  // namespace

TEST_CASE("placement plan: steady demand comes to rest with no model missing") {
  testing::CheckProperty("comes to rest", [](uint64_t seed) {
    Fleet fleet = Fleet::Random(seed);
    for (int step = 0; step < kSteps; ++step) {
      fleet.Step(fleet.demand());
    }
    for (int step = 0; step < kQuietSteps; ++step) {
      RC_ASSERT(fleet.Step(fleet.demand()) == 0);
    }
    for (int index = 0; index < fleet.models(); ++index) {
      RC_ASSERT(fleet.Copies(Fleet::Name(index)) > 0);
    }
  });
}

TEST_CASE("placement plan: demand that varies by a fifth moves no model") {
  testing::CheckProperty("no swing", [](uint64_t seed) {
    Fleet fleet = Fleet::Random(seed);
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> part(0.8, 1.2);
    int orders = 0;
    for (int step = 0; step < 4 * kSteps + kQuietSteps; ++step) {
      Demand demand = fleet.demand();
      for (auto& [model, slots] : demand) {
        slots *= part(random);
      }
      const int given = fleet.Step(demand);
      orders += step < 4 * kSteps ? 0 : given;
    }
    RC_ASSERT(orders == 0);
  });
}

TEST_CASE("placement plan: a model gets the engines that its demand needs") {
  Fleet fleet(/*engines=*/6, /*room=*/1, /*models=*/2, /*seed=*/1);
  for (int step = 0; step < kSteps; ++step) {
    fleet.Step(fleet.demand());
  }
  CHECK(fleet.Copies(Fleet::Name(0)) == 3);
  fleet.SetDemand(0, 4 * kSlots * 0.7);
  fleet.SetDemand(1, 1);
  for (int step = 0; step < kSteps; ++step) {
    fleet.Step(fleet.demand());
  }
  CHECK(fleet.Copies(Fleet::Name(0)) == 4);
  CHECK(fleet.Copies(Fleet::Name(1)) == 2);
  // Demand beyond the whole fleet still leaves the other model one engine.
  fleet.SetDemand(0, 10 * kSlots);
  for (int step = 0; step < kSteps; ++step) {
    fleet.Step(fleet.demand());
  }
  CHECK(fleet.Copies(Fleet::Name(0)) == 5);
  CHECK(fleet.Copies(Fleet::Name(1)) == 1);
}

TEST_CASE(
    "placement plan: a recurring burst moves models only the first time") {
  Fleet fleet(/*engines=*/6, /*room=*/1, /*models=*/2, /*seed=*/1);
  for (int step = 0; step < kSteps; ++step) {
    fleet.Step(fleet.demand());
  }
  ModelDemand demand({Millis(60'000), 3});
  std::vector<EngineView> reports(1);
  reports[0].accepting_ = true;
  int moved_first = 0;
  int moved_later = 0;
  constexpr int kBurstSeconds = 20;
  for (int second = 0; second < 12 * kBurstSeconds; ++second) {
    const bool burst = second / kBurstSeconds % 2 == 0;
    reports[0].loads_ = {{Fleet::Name(0), 0, burst ? 28 : 2},
                         {Fleet::Name(1), 0, 12}};
    demand.Observe(reports, Millis(int64_t{1000} * second));
    const int orders = fleet.Step(demand.slots());
    (second < kBurstSeconds ? moved_first : moved_later) += orders;
  }
  CHECK(moved_first > 0);
  CHECK(moved_later == 0);
}

TEST_CASE(
    "placement plan: a sole engine's version is replaced once another has it") {
  ConfigDocument config;
  config.groups_ = {{GroupId("g"), GroupKind::kEngine, false, 1}};
  config.models_ = {{ModelId("a"), GroupId("g"), "v2", {}},
                    {ModelId("b"), GroupId("g")}};
  std::vector<EngineView> engines(3);
  for (int index = 0; index < 3; ++index) {
    engines[index].sidecar_ = InstanceId(std::to_string(index));
    engines[index].group_ = GroupId("g");
    engines[index].accepting_ = true;
    engines[index].models_ = {ModelId(index == 0 ? "a" : "b")};
  }
  engines[0].loaded_ = {{ModelId("a"), "v1", {}}};
  auto orders = PlanOrders(config, engines, 5);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].action_ == EngineAction::kUnloadModel);
  CHECK(orders[0].model_ == ModelId("b"));
  CHECK(!ReflectsOrder(engines[1], orders[0]));
  engines[1].models_.clear();
  CHECK(ReflectsOrder(engines[1], orders[0]));
  orders = PlanOrders(config, engines, 5);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].sidecar_ == InstanceId("1"));
  CHECK(orders[0].version_ == "v2");
}

TEST_CASE("model demand: rises within seconds, falls with its decay time") {
  ModelDemand demand({Millis(60'000), 3});
  std::vector<EngineView> engines(2);
  engines[0].accepting_ = engines[1].accepting_ = true;
  demand.Observe(engines, Millis(0));
  CHECK(demand.slots().empty());
  // A request that waits at several engines is counted once.
  engines[0].loads_ = {{ModelId("a"), 4, 6}};
  engines[1].loads_ = {{ModelId("a"), 4, 0}};
  for (int second = 1; second <= 10; ++second) {
    demand.Observe(engines, Millis(int64_t{1000} * second));
  }
  CHECK(demand.slots().at(ModelId("a")) > 9);
  CHECK(demand.slots().at(ModelId("a")) <= 10);
  engines[0].loads_.clear();
  engines[1].loads_.clear();
  demand.Observe(engines, Millis(40'000));
  CHECK(demand.slots().at(ModelId("a")) > 5);
  demand.Observe(engines, Millis(600'000));
  CHECK(demand.slots().empty());
}

}  // namespace bergamotscale::placement
