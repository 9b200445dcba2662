// Types shared by the policy module. The module uses no sockets, threads or
// clocks: time is an argument, so that the same code runs in the router, in
// tests and in the experiment tool.
#ifndef BERGAMOTSCALE_SRC_POLICY_TYPES_H_
#define BERGAMOTSCALE_SRC_POLICY_TYPES_H_

#include <cstdint>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// A request that waits for a slot at one upstream.
struct QueueItem {
  uint64_t handle_ = 0;  // chosen by the owner, unique in a queue
  ClassId class_;
  Tier tier_ = Tier(1);
  Millis enqueued_;
  // When the first token is due, and when the request times out.
  Millis first_token_due_;
  Millis deadline_;
  Tokens prompt_tokens_;
  Tokens expected_output_;
  bool suspect_ = false;  // at most one suspect runs at an upstream
  // The caller has received part of the answer already. Such requests go first
  // in their class.
  bool resumed_ = false;
  // Set by the queue: started on its class's floor share.
  bool by_floor_ = false;
};

// Limits on the requests that an upstream runs at once.
struct SlotLimits {
  int limit_ = 1;
  // Number by which the top tier may exceed the limit; half of it for the next
  // tier.
  int urgent_extra_ = 0;
  // Number by which requests started on a floor share may exceed the limit, so
  // that they take no slot from a higher tier.
  int floor_extra_ = 0;
};

// The load of a class at one upstream: the estimated wait of its next request,
// and how many of its requests run.
struct ClassWait {
  ClassId class_;
  Millis wait_;
  int running_ = 0;
};

// The state of an upstream as of its last status message.
struct UpstreamView {
  InstanceId sidecar_;
  GroupId group_;
  ZoneId zone_;
  bool usable_ = false;  // connected, accepting and not draining
  int running_ = 0;
  int slots_ = 0;
  int waiting_ = 0;
  // Reservations that this entry has placed there since that message.
  int placed_since_ = 0;
  Millis between_tokens_;
  Millis expected_wait_;
  Millis report_age_;
  std::vector<uint64_t> cached_prefixes_;  // ascending
  std::vector<ModelId> models_;            // loaded
  // Waits by class; expected_wait_ applies to classes without an entry.
  std::vector<ClassWait> class_waits_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_TYPES_H_
