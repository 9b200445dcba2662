// The traffic thread's part of a sidecar.
#ifndef BERGAMOTSCALE_SRC_SIDECAR_TRAFFIC_H_
#define BERGAMOTSCALE_SRC_SIDECAR_TRAFFIC_H_

#include <functional>
#include <memory>
#include <set>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/result.h"
#include "src/config/config_follower.h"
#include "src/core/blackboard.h"
#include "src/log/log_client.h"
#include "src/metrics/metrics.h"
#include "src/sidecar/settings.h"
#include "src/timeline/timeline.h"
#include "src/wire/messages.h"

namespace bergamotscale::sidecar {

// Whether requests may use a model at the engine.
enum class ModelAvailability {
  kAvailable,
  kWithheld,  // no new requests; running ones may finish
  kUnloaded,  // unloaded, although the last report may still list it
  kLoading,   // may still be loading, so it counts against the engine's room
};

// Models that are withheld, and those with running requests.
struct ModelUse {
  std::set<ModelId> withheld_;
  std::set<ModelId> in_use_;
};

// State shared by the threads of a sidecar.
struct Blackboard {
  // Written by the control thread.
  LatestSnapshot<config::ConfigSnapshot> config_;
  // Written by the traffic thread: whether new work is accepted.
  LatestSnapshot<bool> ready_;
  // Written by the traffic thread.
  LatestSnapshot<ModelUse> model_use_;
};

// Tasks passed to the control thread. Called on the traffic thread; must not
// block.
struct TrafficHooks {
  // A peer sent its configuration in force.
  std::function<void(const wire::Gossip&)> on_config_gossip_;
  // All work has ended after Leave().
  std::function<void()> on_drained_;
};

// Accepts work from entries, schedules it, and monitors the upstream.
// Thread safety: use on the io_context's thread, except for the constructor.
class Traffic {
 public:
  // All references must outlive this.
  Traffic(boost::asio::io_context& io,
          const SidecarSettings& settings,
          log::LogClient& log_client,
          Blackboard& blackboard,
          timeline::Timeline& timeline,
          metrics::Metrics& metrics,
          TrafficHooks hooks);
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  // Starts listening for entries and starts the timers.
  Status Start();
  // Applies the configuration in the shared state.
  void OnConfig();
  // Changes a model's availability. Queued requests for a withheld model are
  // refused.
  void SetAvailability(const ModelId& model, ModelAvailability availability);
  // Refuses new work and lets running work finish. Idempotent.
  void Leave();
  // Closes all connections and ends all sessions.
  void Close();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_TRAFFIC_H_
