// Orders to the engine stand-in: models, adapters and role, under a fence.
#ifndef BERGAMOTSCALE_STANDINS_ENGINE_ENGINE_ORDERS_H_
#define BERGAMOTSCALE_STANDINS_ENGINE_ENGINE_ORDERS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "bergamotscale/clock.h"
#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "standins/engine/engine_settings.h"

namespace bergamotscale::standins {

// What the engine has loaded, as its orders have left it.
// Thread safety: safe.
class EngineOrders {
 public:
  EngineOrders(const EngineSettings& settings, Clock clock);
  ~EngineOrders();
  EngineOrders(const EngineOrders&) = delete;
  EngineOrders& operator=(const EngineOrders&) = delete;

  // Applies one order: {"fence", "order", "model", "adapter", "version",
  // "role"}, where order is load_model, unload_model, load_adapter,
  // unload_adapter, set_role or leave.
  // A load that is under way or done already is taken and changes nothing; one
  // whose weights can't be fetched is given up.
  // @return kStaleFence if the fence is older than one seen before and fences
  // are checked, kMalformedBody, or kUnknownModel for an adapter of a model
  // that isn't there.
  Status Apply(const std::string& body);

  // @return whether the model is loaded and ready by now.
  bool Serves(const ModelId& model) const;
  // @return the models that are ready, as the body of GET /v1/models.
  std::string ListModels() const;
  // @return whether the engine was ordered to leave.
  bool leaving() const;

  // @return state and accepted orders as one JSON document.
  std::string Describe() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::standins

#endif  // BERGAMOTSCALE_STANDINS_ENGINE_ENGINE_ORDERS_H_
