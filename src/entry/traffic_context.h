// State shared by all requests of an entry.
#ifndef BERGAMOTSCALE_SRC_ENTRY_TRAFFIC_CONTEXT_H_
#define BERGAMOTSCALE_SRC_ENTRY_TRAFFIC_CONTEXT_H_

#include <boost/asio/io_context.hpp>

#include "bergamotscale/clock.h"
#include "src/entry/upstream_table.h"
#include "src/metrics/metrics.h"
#include "src/policy/admission.h"
#include "src/policy/dispatcher.h"
#include "src/policy/duplicate_gate.h"
#include "src/policy/output_estimator.h"
#include "src/policy/quarantine.h"
#include "src/policy/retry_budget.h"
#include "src/timeline/timeline.h"

namespace bergamotscale::entry {

// References to the components that every request uses.
// Thread safety: use on the traffic thread only, except metrics_ and timeline_.
struct TrafficContext {
  boost::asio::io_context& io_;
  InstanceId instance_;
  Clock steady_;
  UpstreamTable& upstreams_;
  policy::Dispatcher& dispatcher_;
  policy::Admission& admission_;
  policy::OutputEstimator& output_estimator_;
  policy::Quarantine& quarantine_;
  policy::RetryBudget& retry_budget_;
  policy::DuplicateGate& duplicate_gate_;
  metrics::Metrics& metrics_;
  timeline::Timeline& timeline_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_TRAFFIC_CONTEXT_H_
