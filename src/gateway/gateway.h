// A gateway: an entry that forwards opaque requests directly to upstream
// instances.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_GATEWAY_H_
#define BERGAMOTSCALE_SRC_GATEWAY_GATEWAY_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/result.h"
#include "src/gateway/control.h"
#include "src/gateway/duty_controller.h"
#include "src/gateway/header_codec.h"
#include "src/gateway/origin_log.h"
#include "src/gateway/settings.h"

namespace bergamotscale::gateway {

struct GatewayParts {
  GatewaySettings settings_;
  HeaderCodec header_codec_;
  // Makes the log sources for control, which run on the given context.
  std::function<ControlSources(boost::asio::io_context&)> make_sources_;
  // Makes the store of stream origins for the traffic thread. Without it, they
  // are only known to gateways that live.
  std::function<OriginStore(boost::asio::io_context&)> make_origin_store_;
  // Make what the duties of the settings need, for the traffic thread. Without
  // them, no duty runs.
  std::function<DutyStore(boost::asio::io_context&)> make_duty_store_;
  std::function<DutyCalls(boost::asio::io_context&)> make_duty_calls_;
  // Reads the settings again; called on SIGHUP and once a second.
  std::function<Result<GatewaySettings>()> reload_;
};

// Runs traffic on the calling thread and control on a thread of its own.
class Gateway {
 public:
  explicit Gateway(GatewayParts parts);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Serves until SIGTERM or SIGINT. Then it reports not ready at once, accepts
  // connections for a few more seconds, and finishes requests in flight until
  // the grace time is over.
  // @return an error if it could not start.
  Status Run();

  // Starts the same shutdown as SIGTERM. Thread safety: safe.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_GATEWAY_H_
