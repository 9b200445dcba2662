// Runs the duties of which one gateway at a time calls the operator's API.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_DUTY_CONTROLLER_H_
#define BERGAMOTSCALE_SRC_GATEWAY_DUTY_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bergamotscale/clock.h"
#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "src/duties/duty_state.h"
#include "src/duties/scale_plan.h"
#include "src/gateway/decision_log.h"
#include "src/gateway/peer_message.h"
#include "src/gateway/settings.h"
#include "src/gateway/usage_reporter.h"
#include "src/lease/records.h"
#include "src/metrics/metrics.h"

namespace bergamotscale::gateway {

// The keys of the records.
inline constexpr char kDutyLeaseKey[] = "lease";
inline constexpr char kDutyUsageKey[] = "usage";

// The latest records, and the end of the log as it was read.
struct StoredDuties {
  std::optional<std::string> lease_;
  LogOffset lease_offset_;
  std::optional<std::string> usage_;
  LogOffset end_;
  LogEra era_;
};

// Access to the log of the duties. Each call is answered exactly once, on the
// thread of the caller. At most one call is in progress.
struct DutyStore {
  std::function<void(std::function<void(Result<StoredDuties>)>)> read_;
  // Writes all records or none, unless the log no longer ends at `at`.
  // Yields the offset of the first record; nullopt if the log had changed. A
  // write that failed with an error may be carried out later.
  std::function<void(std::vector<std::pair<std::string, std::string>> records,
                     LogOffset at,
                     std::function<void(Result<std::optional<LogOffset>>)>)>
      write_;
};

// Calls of the operator's API. Each call is answered exactly once, on the
// thread of the caller; one that failed with an error may be carried out later.
// At most one call of each kind is in progress.
struct DutyCalls {
  UsageReporter::Report report_usage_;
  std::function<void(const duties::ScaleOrder&,
                     lease::Fence,
                     std::function<void(Result<DutyAnswer>)>)>
      order_scale_;
};

struct DutyOptions {
  // The name of this gateway in lease records.
  InstanceId holder_;
  // Unique for each start of a process.
  std::string boot_id_;
  // Identifies this gateway among its peers.
  uint64_t member_ = 0;
  int64_t incarnation_ = 0;
  DutySettings settings_;
};

// Counts the requests of each workspace, elects the holder of the duties
// through the peers' datagrams, and as the holder decides usage reports and
// sends them. Only a report whose decision is stored is sent, and always with
// the same counts. Thread safety: use from the traffic thread.
class DutyController {
 public:
  // Call Update() at this interval.
  static constexpr Millis kUpdateInterval = Millis(50);

  // @param boot the clock that includes suspended time.
  DutyController(DutyOptions options,
                 Clock boot,
                 Clock wall,
                 DutyStore store,
                 DutyCalls calls,
                 metrics::Metrics* metrics,
                 DecisionLog* log);
  ~DutyController();
  DutyController(const DutyController&) = delete;
  DutyController& operator=(const DutyController&) = delete;

  void Update();

  // Counts a request that started to run.
  void CountRequest(const WorkspaceId& workspace);

  // @return what the next datagram carries. Usage is included about once per
  // second and when a window has ended.
  DutyMessage TakeMessage();
  // Handles what the datagram of a peer carried.
  // @param member identifies the sender.
  void OnMessage(uint64_t member, const DutyMessage& message);

  // @return the token of the valid lease held by this gateway; zero if none.
  lease::Fence token() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_DUTY_CONTROLLER_H_
