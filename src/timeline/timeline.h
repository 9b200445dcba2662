// The time line: a bounded ring of typed events that each process keeps and
// shows over HTTP.
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

enum class EventType {
  kArrived,        // a request was read and admitted to the queue
  kReserved,       // a reservation was placed; peer is the sidecar
  kQueued,         // a reservation came in; peer is the entry
  kOffered,        // a slot was offered; peer is the entry
  kGranted,        // a sidecar granted a slot; peer is the sidecar
  kBound,          // the work was sent to a sidecar
  kWithdrawn,      // a reservation was given up
  kFirstToken,     // the first token reached the caller
  kFinished,       // the answer is whole
  kRefused,        // the request was refused; detail is the error's name
  kRetried,        // an attempt failed and another follows
  kResumed,        // an answer goes on at another upstream
  kCallerLeft,     // the caller went away
  kCancelled,      // the work was cancelled at the upstream
  kStarted,        // an upstream began to execute
  kClaimAppended,  // an order's claim was appended
  kClaimWon,       // the claim owns the only attempt
  kClaimLost,      // another claim came first
  kOutcome,        // an order's outcome was recorded
  kPeerUp,
  kPeerLost,
  kConfigInForce,  // a revision came into force; detail is the revision
  kLeaving,
  kUpstreamCrashed,
  kQuarantined,
  kDropped,       // a late or foreign chunk was dropped
  kLeaseWon,      // the lease on placement was granted; detail is the fence
  kLeaseLost,     // it is no longer believed held; detail is the fence
  kOrderGiven,    // an order to an engine was appended; peer is the sidecar
  kOrderApplied,  // the engine took an order
  kOrderRefused,  // an order was not carried out; detail says why
};

struct Event {
  Timestamp time_;
  EventType type_ = EventType::kArrived;
  InstanceId instance_;
  RequestId request_id_;  // empty for events of the process itself
  InstanceId peer_;       // empty if no peer takes part
  std::string detail_;
};

// @return the stable name of a type, such as "granted".
const char* EventName(EventType type);

// Thread safety: safe. Memory: bounded by the capacity.
class Timeline {
 public:
  // @param capacity events kept; the oldest give way.
  Timeline(InstanceId instance, Clock wall, size_t capacity);
  ~Timeline();
  Timeline(const Timeline&) = delete;
  Timeline& operator=(const Timeline&) = delete;

  void Add(EventType type,
           const RequestId& request_id,
           const InstanceId& peer = InstanceId(),
           std::string detail = {});

  // Moves the clock past a timestamp that a peer sent.
  void Observe(Timestamp remote);
  // @return a timestamp to send to a peer.
  Timestamp Now();

  // @return the kept events, oldest first.
  std::vector<Event> Events() const;

  // @return the kept events, one JSON object a line.
  std::string ToJsonLines() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::timeline

#endif  // BERGAMOTSCALE_SRC_TIMELINE_TIMELINE_H_
