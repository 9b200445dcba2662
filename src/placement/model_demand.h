// Estimates the slots that the requests for each model need.
#ifndef BERGAMOTSCALE_SRC_PLACEMENT_MODEL_DEMAND_H_
#define BERGAMOTSCALE_SRC_PLACEMENT_MODEL_DEMAND_H_

#include <map>
#include <optional>
#include <vector>

#include "src/placement/placement_plan.h"

namespace bergamotscale::placement {

struct ModelDemandOptions {
  // Time constant with which falling demand is followed.
  Millis decay_time_ = Millis(60'000);
  // A waiting request has reservations at up to this many sidecars and is
  // counted once.
  int reservations_ = 3;
};

// Keeps exponential moving averages of the running and waiting requests by
// model. They rise within seconds and fall slowly, so that a pause between
// bursts does not change the placement. The state is not shared: a new lease
// holder starts from the current reports.
// Thread safety: use from one thread.
class ModelDemand {
 public:
  explicit ModelDemand(ModelDemandOptions options);

  // Updates the averages from the engines' reports.
  // @param now time of a steady clock.
  void Observe(const std::vector<EngineView>& engines, Millis now);

  // @return slots by model; none for models without requests. Valid until the
  // next Observe().
  const Demand& slots() const { return slots_; }

 private:
  ModelDemandOptions options_;
  Demand slots_;
  std::optional<Millis> last_observed_;
};

}  // namespace bergamotscale::placement

#endif  // BERGAMOTSCALE_SRC_PLACEMENT_MODEL_DEMAND_H_
