// Follows the placement stream and sends its engine orders to this sidecar's
// engine.
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

// Access to the models' availability and use by requests. Called on the
// io_context's thread.
struct EngineOrderHooks {
  std::function<void(const ModelId&, ModelAvailability)> set_availability_;
  // @return whether the model is withheld and no request for it is running.
  std::function<bool(const ModelId&)> is_idle_;
};

// Sends the orders for this sidecar to its engine and is the only sender of
// engine orders. Starts once the stream has been read to its end and sends one
// order at a time. Before a model is unloaded, new requests for it are refused
// and running ones may finish; if they don't finish before the order expires,
// the model is made available again.
// Thread safety: use on the io_context's thread.
class EngineOrders {
 public:
  // @param client, timeline, metrics must outlive this object.
  // @param io must outlive all HTTP calls.
  EngineOrders(boost::asio::io_context& io,
               log::LogClient& client,
               timeline::Timeline& timeline,
               metrics::Metrics& metrics,
               InstanceId sidecar,
               std::string engine_url,
               EngineOrderHooks hooks);
  // Stops following the stream; pending HTTP replies are ignored.
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
