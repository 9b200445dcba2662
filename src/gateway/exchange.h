// Handles one request of a caller, from its arrival to the end of the response.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_EXCHANGE_H_
#define BERGAMOTSCALE_SRC_GATEWAY_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/clock.h"
#include "bergamotscale/ids.h"
#include "src/gateway/admission_scheduler.h"
#include "src/gateway/control_state.h"
#include "src/gateway/decision_log.h"
#include "src/gateway/header_codec.h"
#include "src/gateway/origin_log.h"
#include "src/gateway/upstream_set.h"
#include "src/metrics/metrics.h"
#include "src/policy/buffer_budget.h"
#include "src/policy/link_budget.h"
#include "src/policy/part_quarantine.h"
#include "src/policy/quarantine.h"
#include "src/policy/rate_queue.h"
#include "src/policy/service_time.h"
#include "src/policy/shared_retry_budget.h"
#include "src/policy/stop_deadline.h"
#include "src/policy/stream_origins.h"
#include "src/web/caller_session.h"

namespace bergamotscale::gateway {

// Maximum ages of the configuration for decisions that depend on it.
struct FreshnessLimits {
  // A key is accepted only if the table was confirmed within this time.
  Millis max_age_for_keys_ = Millis(4'500);
  // An unknown route or key is rejected for good only if the table was
  // confirmed within this time; otherwise the caller gets a 503 with
  // Retry-After.
  Millis max_age_for_denial_ = Millis(1'700);
};

// A stream on a connection that is newer than the list of upstreams. The list
// may show the version of an earlier incarnation with the same id.
struct UnconfirmedOrigin {
  RequestId stream_;
  policy::StreamOrigin origin_;
  UpstreamKey upstream_;
  Millis opened_at_;  // its connection
};

// Objects shared by all exchanges. Thread safety: use from the traffic thread.
struct ExchangeContext {
  boost::asio::io_context& io_;
  Clock boot_;
  const HeaderCodec& header_codec_;
  const ControlState& control_;
  FreshnessLimits freshness_limits_;
  UpstreamSet& upstreams_;
  AdmissionScheduler& admission_;
  policy::LinkBudget& link_budget_;
  policy::SharedRetryBudget& retry_budget_;
  policy::Quarantine& quarantine_;
  policy::PartQuarantine& part_quarantine_;
  metrics::Metrics& metrics_;
  DecisionLog& log_;
  // Sends new suspects of the quarantine to the peers.
  std::function<void()> broadcast_suspects_;
  // Number of calls so far. It identifies a call in the log, because callers
  // may reuse request ids.
  int64_t num_calls_ = 0;
  policy::ServiceTime service_time_ = {};
  policy::StopDeadline stop_ = {};
  policy::RateQueue rate_queue_ = {};
  // Bounds what exchanges keep in memory; may be null. Must outlive them.
  policy::BufferBudget* buffers_ = nullptr;
  policy::StreamOrigins origins_ = {};
  // Streams whose origin the list of upstreams doesn't confirm yet.
  std::vector<UnconfirmedOrigin> unconfirmed_origins_ = {};
  // Knows origins that origins_ lacks; may be null. Must outlive exchanges.
  OriginLog* origin_log_ = nullptr;
  // A request of the workspace has started to run. May be empty.
  std::function<void(const WorkspaceId&)> on_run_ = {};
  // The exchanges in progress, by their numbers: ends one with a response.
  std::map<int64_t, std::function<void()>> end_exchange_ = {};
};

// @return the session limits for these caller limits. Thread safety: safe.
web::SessionLimits MakeSessionLimits(const route::CallerLimits& limits);

// Starts an exchange, which owns itself until it ends.
// @return the hooks through which the session notifies the exchange.
web::CallerHooks StartExchange(ExchangeContext& context,
                               web::IncomingRequest call,
                               std::shared_ptr<web::Responder> responder);

// Ends all exchanges: what was not run is rejected with a Retry-After, what may
// have run gets an error, and streams are broken off.
// Thread safety: use from the traffic thread.
void EndAllExchanges(ExchangeContext& context);

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_EXCHANGE_H_
