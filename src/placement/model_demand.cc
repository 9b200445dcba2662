#include "src/placement/model_demand.h"

#include <algorithm>
#include <cmath>

namespace bergamotscale::placement {
namespace {

// Time constant with which rising demand is followed.
constexpr Millis kRiseTimeConstant = Millis(3000);
// Slots below which a model without requests is removed.
constexpr double kMinDemand = 0.05;

struct Sample {
  int running_ = 0;
  int waiting_ = 0;
  // Engines with waiting requests for the model.
  int engines_ = 0;
};

std::map<ModelId, Sample> CollectSamples(
    const std::vector<EngineView>& engines) {
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

// @return the weight of a new sample after `elapsed`.
double ComputeGain(Millis elapsed, Millis time_constant) {
  return 1 - std::exp(-static_cast<double>(elapsed.count()) /
                      static_cast<double>(time_constant.count()));
}

}  // namespace

ModelDemand::ModelDemand(ModelDemandOptions options) : options_(options) {}

void ModelDemand::Observe(const std::vector<EngineView>& engines, Millis now) {
  const bool first = !last_observed_.has_value();
  const Millis elapsed = now - last_observed_.value_or(now);
  last_observed_ = now;
  const double fall_gain = ComputeGain(elapsed, options_.decay_time_);
  const double rise_gain = first ? 1 : ComputeGain(elapsed, kRiseTimeConstant);
  std::map<ModelId, Sample> samples = CollectSamples(engines);
  for (const auto& [model, sample] : samples) {
    slots_.emplace(model, 0);
  }
  for (auto known = slots_.begin(); known != slots_.end();) {
    const Sample& sample = samples[known->first];
    const int reservations =
        std::max(1, std::min(sample.engines_, options_.reservations_));
    const double observed =
        sample.running_ + static_cast<double>(sample.waiting_) / reservations;
    const double gain = observed > known->second ? rise_gain : fall_gain;
    known->second += (observed - known->second) * gain;
    const bool gone = observed == 0 && known->second < kMinDemand;
    known = gone ? slots_.erase(known) : std::next(known);
  }
}

}  // namespace bergamotscale::placement
