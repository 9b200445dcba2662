// The gateway's admission queue: requests that wait until an engine has
// capacity for their prompt.
#ifndef BERGAMOTSCALE_SRC_POLICY_ADMISSION_QUEUE_H_
#define BERGAMOTSCALE_SRC_POLICY_ADMISSION_QUEUE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "bergamotscale/units.h"
#include "src/policy/prefill_speed.h"

namespace bergamotscale::policy {

struct QueuedRequest {
  int priority_ = 0;  // 0 is the most urgent
  // When the first event of the answer is due.
  Millis due_;
  int route_priority_ = 0;  // breaks ties of priority_
  // How long the request stays behind those that can still be on time, once it
  // is late.
  Millis late_delay_ = Millis(1'000);
};

// Orders the requests that wait. Engines prefill prompts first in, first out,
// whatever their urgency, so in a burst, long prompts sent at once would make
// short urgent requests late; this queue holds them back. Within a priority,
// requests are ordered by due time. Requests that are already late stay behind
// those that can still be on time, for a limited time: serving the oldest first
// would make all of them late. Thread safety: none.
class AdmissionQueue {
 public:
  // @return the id of the request in this queue.
  uint64_t Add(const QueuedRequest& request);
  void Remove(uint64_t id);

  // @return the ids in the order in which the requests should be tried.
  std::vector<uint64_t> GetOrder(Millis now) const;

  size_t size() const { return waiting_.size(); }

 private:
  std::map<uint64_t, QueuedRequest> waiting_;  // ordered by arrival
  uint64_t next_ = 0;
};

// The inputs of the limit on prompt tokens queued for prefill at an engine when
// a request is sent, so that a more urgent request behind it can still be on
// time.
struct PrefillLimitParams {
  // The tightest target among the more urgent routes of the group; 0 if there
  // is none, which means no limit.
  Millis tightest_target_;
  // Prefill speed of an engine while it runs its batch, in prompt tokens per
  // ms.
  double tokens_per_ms_ = PrefillSpeed::kInitial;
};

// @param own_tokens tokens of the request that the engine would prefill. A
// short prompt delays others little and so is allowed a higher limit.
// @param is_cached_elsewhere whether another engine caches what this one would
// prefill. Such requests get a low limit, so that they go only to nearly idle
// engines: where all are busy, as in bursts beyond the prefill capacity of all
// engines, a second prefill would take time from waiting requests.
// @return the limit in tokens; negative for none. Thread safety: safe.
double ComputePrefillLimit(const PrefillLimitParams& params,
                           double own_tokens,
                           bool is_cached_elsewhere = false);

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_ADMISSION_QUEUE_H_
