// Decides which models engines should load next: pure.
#ifndef BERGAMOTSCALE_SRC_PLACEMENT_PLACEMENT_PLAN_H_
#define BERGAMOTSCALE_SRC_PLACEMENT_PLACEMENT_PLAN_H_

#include <vector>

#include "bergamotscale/config_document.h"
#include "src/placement/records.h"

namespace bergamotscale::placement {

// What the holder knows of one engine.
struct EngineView {
  InstanceId sidecar_;
  GroupId group_;
  bool accepting_ = false;
  std::vector<ModelId> models_;
  // Ordered and not yet seen in models_.
  std::vector<ModelId> ordered_;
};

// @return orders to load what is configured and missing, at most `budget`,
// the models that the fewest engines have first. The fence is left empty.
// An engine is given one load at a time. Thread safety: safe.
std::vector<EngineOrder> PlanLoads(const ConfigDocument& config,
                                   const std::vector<EngineView>& engines,
                                   int budget);

}  // namespace bergamotscale::placement

#endif  // BERGAMOTSCALE_SRC_PLACEMENT_PLACEMENT_PLAN_H_
