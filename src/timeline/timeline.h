// The timeline: a bounded list of the latest events of a process, which the
// process serves over HTTP.
#ifndef BERGAMOTSCALE_SRC_TIMELINE_TIMELINE_H_
#define BERGAMOTSCALE_SRC_TIMELINE_TIMELINE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "bergamotscale/clock.h"
#include "bergamotscale/ids.h"
#include "src/core/timestamp.h"

namespace bergamotscale::timeline {

// Types of events. A comment says what peer_ and detail_ hold, if they are set.
enum class EventType {
  kArrived,        // a request was read; detail: its class and workspace
  kReserved,       // a reservation was sent; peer: the sidecar
  kQueued,         // a reservation was received; peer: the entry
  kOffered,        // a slot was offered; peer: the entry
  kGranted,        // a slot was granted; peer: the sidecar
  kBound,          // the work was sent; peer: the sidecar
  kWithdrawn,      // a reservation was withdrawn
  kFirstToken,     // the first token was received from the upstream
  kFinished,       // the response is complete
  kRefused,        // the request was refused; detail: the error's name
  kRetried,        // an attempt failed and is retried; detail: the error's name
  kResumed,        // like kRetried, but continues a partial response
  kCallerLeft,     // the caller disconnected
  kCancelled,      // the work was cancelled at the upstream
  kStarted,        // the upstream began to execute the request
  kClaimAppended,  // an order's claim was sent to the log
  kClaimWon,       // the claim owns the order's only attempt; detail: its id
  kClaimLost,      // another claim of the order came first
  kOutcome,        // an order's outcome was sent to the log
  kPeerUp,         // the link to the peer became usable
  kPeerLost,       // the link to the peer was lost
  kConfigInForce,  // a configuration took effect; detail: its revision
  kLeaving,        // the process began to drain
  kUpstreamCrashed,
  kQuarantined,
  kDropped,       // a late or foreign message was dropped; peer: the sidecar
  kLeaseWon,      // the placement lease was acquired; detail: the fence
  kLeaseLost,     // the process stopped acting as its holder; detail: the fence
  kOrderGiven,    // an engine order was issued; peer: the sidecar
  kOrderApplied,  // the engine accepted an order
  kOrderRefused,  // an order was not executed; detail: the order and why
};

struct Event {
  Timestamp time_;
  EventType type_ = EventType::kArrived;
  InstanceId instance_;
  RequestId request_id_;  // empty for events of the process itself
  InstanceId peer_;       // empty if no peer is involved
  std::string detail_;
};

// @return the stable name of a type, such as "granted".
const char* EventName(EventType type);

// Records events with timestamps of a hybrid logical clock, so that the
// timelines of several processes can be merged in causal order.
// Thread safety: safe. Memory: bounded by the capacity.
class Timeline {
 public:
  // @param capacity number of events kept; the oldest are dropped first.
  Timeline(InstanceId instance, Clock wall, size_t capacity);
  ~Timeline();
  Timeline(const Timeline&) = delete;
  Timeline& operator=(const Timeline&) = delete;

  void Add(EventType type,
           const RequestId& request_id,
           const InstanceId& peer = InstanceId(),
           std::string detail = {});

  // Advances the clock past a timestamp received from a peer.
  void Observe(Timestamp remote);
  // @return a timestamp to send to a peer.
  Timestamp Now();

  // @return the kept events, oldest first.
  std::vector<Event> Events() const;

  // @return the kept events, one JSON object per line.
  std::string ToJsonLines() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::timeline

#endif  // BERGAMOTSCALE_SRC_TIMELINE_TIMELINE_H_
