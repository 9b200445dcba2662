// Types shared by the decisions under load. Everything in this module is free
// of sockets, threads and clocks: time comes in as an argument, so that the
// same code runs in the router, in tests and in the experiment tool.
#ifndef BERGAMOTSCALE_SRC_POLICY_TYPES_H_
#define BERGAMOTSCALE_SRC_POLICY_TYPES_H_

#include <cstdint>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// A request that waits for a slot at one upstream.
struct QueueItem {
  uint64_t handle_ = 0;  // the owner's name for the item, unique in a queue
  ClassId class_;
  Tier tier_ = Tier(1);
  Millis enqueued_;
  // When the first token is due, and when the request is given up.
  Millis first_token_due_;
  Millis deadline_;
  Tokens prompt_tokens_;
  Tokens expected_output_;
  bool suspect_ = false;  // at most one suspect runs at an upstream
  // The caller has a part of the answer already: goes first in its class.
  bool resumed_ = false;
  // Set by the queue: started on its class's floor share.
  bool by_floor_ = false;
};

// How many requests an upstream runs at once.
struct SlotLimits {
  int limit_ = 1;
  // The top tier may go beyond the limit by so many, the next by half.
  int urgent_extra_ = 0;
  // Requests started on a floor share may go beyond the limit by so many, so
  // that they take no slot from a higher tier.
  int floor_extra_ = 0;
};

// A class at one upstream: the expected wait of its next request, and how many
// of its requests run.
struct ClassWait {
  ClassId class_;
  Millis wait_;
  int running_ = 0;
};

// What an entry knows of an upstream, from its last status message.
struct UpstreamView {
  InstanceId sidecar_;
  GroupId group_;
  ZoneId zone_;
  bool usable_ = false;  // connected, accepting and not leaving
  int running_ = 0;
  int slots_ = 0;
  int waiting_ = 0;
  // Reservations this entry has placed there since that message.
  int placed_since_ = 0;
  Millis between_tokens_;
  Millis expected_wait_;
  Millis report_age_;
  std::vector<uint64_t> cached_prefixes_;  // ascending
  std::vector<ModelId> models_;            // loaded
  // Waits by class where known; expected_wait_ stands in for the others.
  std::vector<ClassWait> class_waits_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_TYPES_H_
