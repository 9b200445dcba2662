#include "src/placement/model_demand.h"

#include <algorithm>
#include <cmath>

namespace bergamotscale::placement {
namespace {

// Time constant by which new demand is believed.
constexpr Millis kRiseTime = Millis(3000);
// Slots below which a model has no demand.
constexpr double kLeastDemand = 0.05;

struct Sample {
  int running_ = 0;
  int waiting_ = 0;
  // Engines at which a request can wait.
  int engines_ = 0;
};

std::map<ModelId, Sample> SamplesOf(const std::vector<EngineView>& engines) {
  std::map<ModelId, Sample> samples;
  for (const EngineView& engine : engines) {
    if (!engine.accepting_) {
      continue;
    }
    for (const wire::ModelLoad& load : engine.loads_) {
      Sample& sample = samples[load.model_];
      sample.running_ += load.running_;
      sample.waiting_ += load.waiting_;
      sample.engines_ += load.waiting_ > 0 ? 1 : 0;
    }
  }
  return samples;
}

// @return the part of a difference that is made up in a time.
double GainOf(Millis passed, Millis time_constant) {
  return 1 - std::exp(-static_cast<double>(passed.count()) /
                      static_cast<double>(time_constant.count()));
}

}  // namespace

ModelDemand::ModelDemand(ModelDemandOptions options) : options_(options) {}

void ModelDemand::Observe(const std::vector<EngineView>& engines, Millis now) {
  const bool first = !observed_.has_value();
  const Millis passed = now - observed_.value_or(now);
  observed_ = now;
  const double fall = GainOf(passed, options_.memory_);
  const double rise = first ? 1 : GainOf(passed, kRiseTime);
  std::map<ModelId, Sample> samples = SamplesOf(engines);
  for (const auto& [model, sample] : samples) {
    slots_.emplace(model, 0);
  }
  for (auto known = slots_.begin(); known != slots_.end();) {
    const Sample& sample = samples[known->first];
    const int places =
        std::max(1, std::min(sample.engines_, options_.reservations_));
    const double seen =
        sample.running_ + static_cast<double>(sample.waiting_) / places;
    const double gain = seen > known->second ? rise : fall;
    known->second += (seen - known->second) * gain;
    const bool gone = seen == 0 && known->second < kLeastDemand;
    known = gone ? slots_.erase(known) : std::next(known);
  }
}

}  // namespace bergamotscale::placement
