// Decides which models and adapters engines should load next: pure.
#ifndef BERGAMOTSCALE_SRC_PLACEMENT_PLACEMENT_PLAN_H_
#define BERGAMOTSCALE_SRC_PLACEMENT_PLACEMENT_PLAN_H_

#include <vector>

#include "bergamotscale/config_document.h"
#include "src/placement/records.h"
#include "src/wire/messages.h"

namespace bergamotscale::placement {

// What the holder knows of one engine.
struct EngineView {
  InstanceId sidecar_;
  GroupId group_;
  bool accepting_ = false;
  std::vector<ModelId> models_;
  // Those of models_ that have a version or adapters.
  std::vector<wire::LoadedModel> loaded_;
  // Models of orders that were given and that Shows() doesn't find yet.
  std::vector<ModelId> ordered_;
};

// @return whether the engine has what the order makes it load.
bool Shows(const EngineView& engine, const EngineOrder& order);

// @return orders to load what is configured and missing, at most `budget`,
// the models that the fewest engines have first. The fence is left empty.
// An engine is given one load at a time. A version is replaced at one engine
// at a time while others have the model, and adapters come last.
// Thread safety: safe.
std::vector<EngineOrder> PlanLoads(const ConfigDocument& config,
                                   const std::vector<EngineView>& engines,
                                   int budget);

}  // namespace bergamotscale::placement

#endif  // BERGAMOTSCALE_SRC_PLACEMENT_PLACEMENT_PLAN_H_
