// Decides which models and adapters engines should load and unload next: pure.
#ifndef BERGAMOTSCALE_SRC_PLACEMENT_PLACEMENT_PLAN_H_
#define BERGAMOTSCALE_SRC_PLACEMENT_PLACEMENT_PLAN_H_

#include <map>
#include <vector>

#include "bergamotscale/config_document.h"
#include "src/placement/records.h"
#include "src/wire/messages.h"

namespace bergamotscale::placement {

// What the holder knows of one engine.
struct EngineView {
  InstanceId sidecar_;
  GroupId group_;
  // Usable, with a report that says what it has now.
  bool accepting_ = false;
  // Loaded, and offered to requests.
  std::vector<ModelId> models_;
  // Those of models_ that have a version or adapters.
  std::vector<wire::LoadedModel> loaded_;
  // Not offered, but with room taken: to be unloaded, or loading late.
  std::vector<ModelId> withheld_;
  // Models of orders to load, and to unload, that were given and that Shows()
  // doesn't find yet.
  std::vector<ModelId> ordered_;
  std::vector<ModelId> unloading_;
  // Requests that it runs at once, and those that it has, by model.
  int slots_ = 0;
  std::vector<wire::ModelLoad> loads_;
};

// Slots that the requests for a model need.
using Demand = std::map<ModelId, double>;

// @return whether the engine has what the order makes it load, or lacks what
// the order makes it unload.
bool Shows(const EngineView& engine, const EngineOrder& order);

// Plans the next step towards a placement in which each model is on as many
// engines as its demand needs, and on one at least. An engine is given one
// order at a time.
// - Where there is room, models that are short of engines are loaded first,
//   then those with the most demand per engine, then those that the fewest
//   engines have.
// - Where there is none, a model that is short takes the room of one that is
//   not configured, or of one that has much less demand per engine also
//   without it. The last engine of a configured model is never taken.
// - A version is replaced at one engine at a time while others have the model,
//   and adapters come last.
// @param budget the most orders, whether they load or make room for a load.
// @return the orders; the fence and times are left empty.
// Thread safety: safe.
std::vector<EngineOrder> PlanOrders(const ConfigDocument& config,
                                    const std::vector<EngineView>& engines,
                                    int budget,
                                    const Demand& demand = {});

}  // namespace bergamotscale::placement

#endif  // BERGAMOTSCALE_SRC_PLACEMENT_PLACEMENT_PLAN_H_
