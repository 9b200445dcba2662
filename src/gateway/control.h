// Control of a gateway: follows the configuration and the upstreams.
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
#include "src/keyed_log/keyed_log.h"

namespace bergamotscale::gateway {

// Where control reads, and how records become typed values.
struct ControlSources {
  keyed_log::Source config_;
  std::string config_key_;
  std::function<Result<route::RouteTable::Content>(const std::string& value)>
      read_table_;
  keyed_log::Source upstreams_;
  std::function<Result<route::UpstreamEntry>(const std::string& key,
                                             const std::string& value)>
      read_upstream_;
};

struct ControlOptions {
  // How long after an outage of the log a live upstream's entry is back.
  Millis lapse_grace_ = Millis(2'500);
  // Pause between reads of the upstreams; heartbeats make that log busy, and
  // a leaving upstream has to be known well within the drain time.
  Millis upstreams_pause_ = Millis(600);
};

// Thread safety: use from the thread of its io_context; the state is read by
// any thread.
class Control {
 public:
  // @param on_change called after the state has changed.
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

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_CONTROL_H_
