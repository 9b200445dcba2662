// One caller's request, from its arrival to the end of its answer.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_EXCHANGE_H_
#define BERGAMOTSCALE_SRC_GATEWAY_EXCHANGE_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/clock.h"
#include "src/gateway/control_state.h"
#include "src/gateway/decision_log.h"
#include "src/gateway/dialect.h"
#include "src/gateway/room_queue.h"
#include "src/gateway/upstream_set.h"
#include "src/metrics/metrics.h"
#include "src/policy/link_budget.h"
#include "src/policy/quarantine.h"
#include "src/policy/shared_retry_budget.h"
#include "src/web/caller_session.h"

namespace bergamotscale::gateway {

// Bounds on what an exchange may believe.
struct FreshnessBounds {
  // A key holds while the table that has it is younger than this.
  Millis key_lease_ = Millis(4'500);
  // A route or key that the table does not have is denied only if the table is
  // younger than this; otherwise the caller is told to come back.
  Millis denial_ = Millis(1'700);
};

// What exchanges share. Thread safety: use from the traffic thread.
struct ExchangeContext {
  boost::asio::io_context& io_;
  Clock boot_;
  const Dialect& dialect_;
  const ControlState& control_;
  FreshnessBounds freshness_;
  UpstreamSet& upstreams_;
  RoomQueue& room_;
  policy::LinkBudget& link_;
  policy::SharedRetryBudget& retries_;
  policy::Quarantine& quarantine_;
  metrics::Metrics& metrics_;
  DecisionLog& log_;
  // Tells peers of what quarantine has learnt.
  std::function<void()> spread_suspicion_;
  // Calls so far, which names each in the log: callers may use an id again.
  int64_t calls_ = 0;
};

// @return the limits of sessions with callers that may send so much.
// Thread safety: safe.
web::SessionLimits SessionLimitsOf(const route::CallerLimits& limits);

// Starts an exchange, which keeps itself alive to its end.
// @return what the session tells the exchange.
web::CallerHooks StartExchange(ExchangeContext& context,
                               web::IncomingCall call,
                               std::shared_ptr<web::Responder> responder);

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_EXCHANGE_H_
