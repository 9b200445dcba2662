// The upper bound of goodput that the experiment's table refers to.
#include <algorithm>

#include <doctest/doctest.h>

#include "src/lab/attainable.h"

namespace bergamotscale::lab {
namespace {

constexpr double kMicrosPerSecond = 1e6;

// @return the goodput of the best division into whole engines, each of which is
// batch-limited or not. A batch-limited engine runs `tight` requests of the
// first class and as many of the last as fit.
double BestOfWholeEngines(const Scenario& scenario, double cached_share) {
  const std::vector<ClassDemand> demands =
      ComputeDemand(scenario, cached_share);
  const emulator::EngineParameters& engine = scenario.engine_;
  const auto base = static_cast<double>(engine.step_base_.count());
  const auto target = static_cast<double>(
      emulator::ToMicros(scenario.classes_[0].class_.between_tokens_).count());
  const double cost = demands.front().cost_micros_;
  const double bulk_cost = demands.back().cost_micros_;
  const double most =
      std::min(static_cast<double>(engine.max_running_),
               static_cast<double>(engine.kv_capacity_.count()) /
                   demands.back().kv_tokens_);
  const double full = most / (base + most * bulk_cost);
  double best = 0;
  for (int batch_limited = 1; batch_limited <= scenario.engines_;
       ++batch_limited) {
    for (int tight = 0; base + tight * cost <= target; ++tight) {
      const double step_left = target - base - tight * cost;
      const double bulk =
          std::clamp(step_left / bulk_cost, 0.0, std::max(most - tight, 0.0));
      const double step = base + tight * cost + bulk * bulk_cost;
      const double rate = batch_limited * kMicrosPerSecond / step;
      if (tight * rate < demands.front().tokens_per_second_) {
        continue;
      }
      const double others =
          (scenario.engines_ - batch_limited) * full * kMicrosPerSecond;
      best = std::max(
          best, demands.front().tokens_per_second_ + bulk * rate + others);
    }
  }
  return best;
}

TEST_CASE("attainable: no division into whole engines exceeds the bound") {
  for (const std::string& user : ScenarioUsers()) {
    CAPTURE(user);
    const Scenario scenario = MakeScenario(user, "bulk_burst").value();
    for (const double cached : {0.0, 0.5, 1.0}) {
      const double bound =
          ComputeMaxGoodput(scenario, cached).tokens_per_second_;
      const double whole = BestOfWholeEngines(scenario, cached);
      CHECK(whole <= bound);
      CHECK(whole >= 0.97 * bound);
    }
  }
}

TEST_CASE(
    "attainable: bounded by the demand and by the needs of the top tier") {
  Scenario scenario = MakeScenario("hanbit", "steady").value();
  double demand = 0;
  for (const ClassDemand& class_demand : ComputeDemand(scenario, 1)) {
    demand += class_demand.tokens_per_second_;
  }
  const double top = ComputeDemand(scenario, 1).front().tokens_per_second_;
  CHECK(ComputeMaxGoodput(scenario).tokens_per_second_ ==
        doctest::Approx(demand - 0.01 * top));
  // If the top tier needs more than all engines can generate on time, there is
  // no goodput.
  scenario = MakeScenario("hanbit", "urgent_burst").value();
  CHECK(ComputeMaxGoodput(scenario).tokens_per_second_ == 0);
}

}  // namespace
}  // namespace bergamotscale::lab
