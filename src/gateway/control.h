// Follows the configuration and the upstream registry for a gateway.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_CONTROL_H_
#define BERGAMOTSCALE_SRC_GATEWAY_CONTROL_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/clock.h"
#include "bergamotscale/result.h"
#include "src/gateway/control_state.h"
#include "src/gateway/decision_log.h"
#include "src/keyed_log/follower.h"
#include "src/keyed_log/keyed_log.h"

namespace bergamotscale::gateway {

// The logs that control reads, and the decoders of their records.
struct ControlSources {
  keyed_log::Source config_;
  std::string config_key_;
  std::function<Result<route::RouteTable::Content>(const std::string& value)>
      decode_table_;
  keyed_log::Source upstreams_;
  std::function<Result<route::UpstreamEntry>(const std::string& key,
                                             const std::string& value)>
      decode_upstream_;
};

struct ControlOptions {
  // After an outage of the registry's log, an upstream whose registration has
  // expired is kept this long, so that a live upstream can register again.
  Millis lapsed_retention_ = Millis(2'500);
  // Interval between reads of the upstream registry. Heartbeats write to it
  // constantly, so reads are spaced; a draining upstream must still be noticed
  // well within its drain time.
  Millis upstreams_poll_interval_ = Millis(600);
  // How long the log holds a read of the configuration that finds no record.
  Millis config_wait_ = Millis(1'000);
  // Pause after a failed read.
  Millis retry_pause_ = keyed_log::FollowerOptions().retry_pause_;
};

// @return options with as few reads as the bounds allow: each entry of a fleet
// reads for itself, and the log's calls grow with their number.
// @param max_drain_delay time within which a draining upstream must get no more
// requests.
// @param max_config_delay time within which a configuration must be in force.
// Thread safety: safe.
ControlOptions MakeControlOptions(Millis max_drain_delay,
                                  Millis max_config_delay);

// Reads the configuration and the upstreams and publishes them in a
// ControlState.
// Thread safety: use from the thread of its io_context; any thread may read the
// state.
class Control {
 public:
  // @param on_change called after each change of the state.
  Control(boost::asio::io_context& io,
          Clock boot,
          ControlSources sources,
          ControlOptions options,
          ControlState* state,
          DecisionLog* log,
          std::function<void()> on_change);
  ~Control();
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  void Start();

  // Takes a configuration that a peer has in force, if it is newer.
  // @param as_of the time up to which the peer had confirmed it.
  void OfferPeerConfig(const std::string& document, Millis as_of);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_CONTROL_H_
