// Carries out the orders of the placement stream at this sidecar's engine.
#ifndef BERGAMOTSCALE_SRC_SIDECAR_ENGINE_ORDERS_H_
#define BERGAMOTSCALE_SRC_SIDECAR_ENGINE_ORDERS_H_

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/ids.h"
#include "src/http/metrics.h"
#include "src/log/log_client.h"
#include "src/timeline/timeline.h"

namespace bergamotscale::sidecar {

// The only one that gives orders to the engine. It gives none before it has
// read the stream to its end, and then one at a time.
// Thread safety: use on the io_context's thread.
class EngineOrders {
 public:
  // @param client, timeline, metrics must outlive this, the context all calls.
  EngineOrders(boost::asio::io_context& io,
               log::LogClient& client,
               timeline::Timeline& timeline,
               http::Metrics& metrics,
               InstanceId sidecar,
               std::string engine_url);
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
