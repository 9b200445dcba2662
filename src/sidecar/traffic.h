// All that runs on a sidecar's traffic thread.
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

// How requests are offered a model that the engine has.
enum class ModelOffer {
  kOffered,
  kWithheld,  // no new requests; running ones end
  kUnloaded,  // known to be gone before the next report
  kLoading,   // may come late, and takes its room until then
};

// Models that are withheld, and those that have requests running.
struct ModelUse {
  std::set<ModelId> withheld_;
  std::set<ModelId> in_use_;
};

// Where the threads of a sidecar meet.
struct Blackboard {
  // Written by the control thread.
  Slot<config::ConfigSnapshot> config_;
  // Written by the traffic thread: whether new work is accepted.
  Slot<bool> ready_;
  // Written by the traffic thread.
  Slot<ModelUse> model_use_;
};

// What the traffic thread leaves to the control thread. Called on the traffic
// thread; must not block.
struct TrafficHooks {
  // A peer has this configuration in force.
  std::function<void(const wire::Gossip&)> on_config_gossip_;
  // All work is done after Leave().
  std::function<void()> on_drained_;
};

// Thread safety: all calls on the io_context's thread, but for the
// constructor.
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

  // Listens for entries and starts the timers.
  Status Start();
  // Takes the configuration on the blackboard.
  void OnConfig();
  // Changes how a model is offered; what waits for a withheld one is refused.
  void SetOffer(const ModelId& model, ModelOffer offer);
  // Refuses new work, lets running work end. Idempotent.
  void Leave();
  // Closes everything.
  void Close();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_TRAFFIC_H_
