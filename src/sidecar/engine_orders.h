// Carries out the orders of the placement stream at this sidecar's engine.
#ifndef BERGAMOTSCALE_SRC_SIDECAR_ENGINE_ORDERS_H_
#define BERGAMOTSCALE_SRC_SIDECAR_ENGINE_ORDERS_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/ids.h"
#include "src/log/log_client.h"
#include "src/metrics/metrics.h"
#include "src/sidecar/traffic.h"
#include "src/timeline/timeline.h"

namespace bergamotscale::sidecar {

// What the orders need of the traffic. Called on the io_context's thread.
struct EngineOrderHooks {
  std::function<void(const ModelId&, ModelOffer)> set_offer_;
  // @return whether the model is withheld and no request for it runs.
  std::function<bool(const ModelId&)> is_idle_;
};

// The only one that gives orders to the engine. It gives none before it has
// read the stream to its end, and then one at a time. A model that is to be
// unloaded gets no new requests, and is unloaded once those that run have
// ended; if they don't end before the order expires, it is offered again.
// Thread safety: use on the io_context's thread.
class EngineOrders {
 public:
  // @param client, timeline, metrics must outlive this, the context all calls.
  EngineOrders(boost::asio::io_context& io,
               log::LogClient& client,
               timeline::Timeline& timeline,
               metrics::Metrics& metrics,
               InstanceId sidecar,
               std::string engine_url,
               EngineOrderHooks hooks);
  // Stops.
  ~EngineOrders();
  EngineOrders(const EngineOrders&) = delete;
  EngineOrders& operator=(const EngineOrders&) = delete;

  void Start();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_ENGINE_ORDERS_H_
