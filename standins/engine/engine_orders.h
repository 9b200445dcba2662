// Engine orders at the engine stand-in: models, adapters and role.
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

// The models, adapters and role of the engine, changed by engine orders.
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
  // A load that is pending or done already is accepted and changes nothing; one
  // whose weights can't be fetched is dropped.
  // @return kStaleFence if the fence is older than one seen before and fences
  // are checked, kMalformedBody, or kUnknownModel for an adapter of a model
  // that is not loaded.
  Status Apply(const std::string& body);

  // @return whether the model is loaded and ready.
  bool Serves(const ModelId& model) const;
  // @return the models that are ready, as the body of GET /v1/models.
  std::string ListModels() const;
  // @return whether the engine was ordered to leave.
  bool leaving() const;

  // @return the state and the accepted orders as a JSON document.
  std::string Describe() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::standins

#endif  // BERGAMOTSCALE_STANDINS_ENGINE_ENGINE_ORDERS_H_
