// Decides which models and adapters engines should load and unload next.
#ifndef BERGAMOTSCALE_SRC_PLACEMENT_PLACEMENT_PLAN_H_
#define BERGAMOTSCALE_SRC_PLACEMENT_PLACEMENT_PLAN_H_

#include <map>
#include <vector>

#include "bergamotscale/config_document.h"
#include "src/placement/records.h"
#include "src/wire/messages.h"

namespace bergamotscale::placement {

// The lease holder's view of one engine.
struct EngineView {
  InstanceId sidecar_;
  GroupId group_;
  // Accepts requests, and its last report is current.
  bool accepting_ = false;
  // Loaded and available to requests.
  std::vector<ModelId> models_;
  // The models among models_ that have a version or adapters.
  std::vector<wire::LoadedModel> loaded_;
  // Not available, but occupying room: being unloaded, or loading late.
  std::vector<ModelId> withheld_;
  // Models of load and unload orders that were sent and for which
  // ReflectsOrder() is still false.
  std::vector<ModelId> pending_loads_;
  std::vector<ModelId> pending_unloads_;
  // Concurrent requests that it can run, and its current requests by model.
  int slots_ = 0;
  std::vector<wire::ModelLoad> loads_;
};

// Slots that the requests for each model need.
using Demand = std::map<ModelId, double>;

// @return whether the engine's report reflects the order: what it loads is
// loaded, or what it unloads is gone.
bool ReflectsOrder(const EngineView& engine, const EngineOrder& order);

// Plans the next step towards a placement in which each model is on as many
// engines as its demand needs, and on at least one. Each engine gets one order
// at a time.
// - Free room (space for another model on an engine) goes to models on too few
//   engines first, then to those with the most demand per engine, then to those
//   on the fewest engines.
// - Without free room, a model on too few engines evicts one that is not
//   configured, or one that would still have much less demand per engine after
//   losing this engine. A configured model is never evicted from its last
//   engine.
// - A model's version is replaced at one engine at a time while other engines
//   have the model. Adapters are loaded last.
// A pure function: it keeps no state.
// @param budget the maximum number of orders, including unloads that free room.
// @return the orders, without fence and times.
// Thread safety: safe.
std::vector<EngineOrder> PlanOrders(const ConfigDocument& config,
                                    const std::vector<EngineView>& engines,
                                    int budget,
                                    const Demand& demand = {});

}  // namespace bergamotscale::placement

#endif  // BERGAMOTSCALE_SRC_PLACEMENT_PLACEMENT_PLAN_H_
