// Estimates how many slots the requests for each model need.
#ifndef BERGAMOTSCALE_SRC_PLACEMENT_MODEL_DEMAND_H_
#define BERGAMOTSCALE_SRC_PLACEMENT_MODEL_DEMAND_H_

#include <map>
#include <optional>
#include <vector>

#include "src/placement/placement_plan.h"

namespace bergamotscale::placement {

struct ModelDemandOptions {
  // Time constant by which demand that has gone is forgotten.
  Millis memory_ = Millis(60'000);
  // Sidecars at which a waiting request has a reservation.
  int reservations_ = 3;
};

// Means of the requests that run and wait, by model. They rise within seconds
// and fall slowly, so that a pause of a burst is no change of demand. Soft
// state: a new holder of the lease begins with the reports that it has.
// Thread safety: use from one thread.
class ModelDemand {
 public:
  explicit ModelDemand(ModelDemandOptions options);

  // Takes in the engines' reports. Times are of one steady clock.
  void Observe(const std::vector<EngineView>& engines, Millis now);

  // @return slots by model; none for models without requests. Valid until the
  // next Observe().
  const Demand& slots() const { return slots_; }

 private:
  ModelDemandOptions options_;
  Demand slots_;
  std::optional<Millis> observed_;
};

}  // namespace bergamotscale::placement

#endif  // BERGAMOTSCALE_SRC_PLACEMENT_MODEL_DEMAND_H_
