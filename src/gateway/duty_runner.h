// Runs the duty controller of a gateway and connects it to the peers.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_DUTY_RUNNER_H_
#define BERGAMOTSCALE_SRC_GATEWAY_DUTY_RUNNER_H_

#include <cstdint>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamotscale/clock.h"
#include "bergamotscale/ids.h"
#include "src/gateway/duty_controller.h"
#include "src/gateway/peers.h"
#include "src/gateway/settings.h"

namespace bergamotscale::gateway {

// Thread safety: use from the thread of the io_context, which must not run
// after this object is destroyed.
class DutyRunner {
 public:
  // Precondition: the settings have duties.
  // @param member identifies this gateway, see MemberId().
  DutyRunner(boost::asio::io_context& io,
             Clock boot,
             const GatewaySettings& settings,
             uint64_t member,
             DutyStore store,
             DutyCalls calls,
             metrics::Metrics* metrics,
             DecisionLog* log);
  DutyRunner(const DutyRunner&) = delete;
  DutyRunner& operator=(const DutyRunner&) = delete;

  // Sets the hooks for the duties. This object must outlive their user.
  void SetPeerHooks(PeerHooks* hooks);
  // Counts a request that started to run.
  void CountRequest(const WorkspaceId& workspace);

 private:
  void ScheduleUpdate();

  DutyController controller_;
  boost::asio::steady_timer timer_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_DUTY_RUNNER_H_
