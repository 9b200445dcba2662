// The queue of one upstream. It holds the reservations of all entries and
// decides which to grant next.
#ifndef BERGAMOTSCALE_SRC_POLICY_WORK_QUEUE_H_
#define BERGAMOTSCALE_SRC_POLICY_WORK_QUEUE_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "bergamotscale/config_document.h"
#include "src/policy/types.h"

namespace bergamotscale::policy {

// Orders requests by the slack to their class's first-token target, weighted by
// tier. A class goes before one of a higher tier only if the requests of the
// higher tier can wait that long. Within a class, requests that can still be on
// time go before late ones. If nothing may start within the limit, a class
// whose floor share of the work is due may exceed it.
//
// Use: Push() a reservation. When something changes, call PopNext() until it
// returns nothing, and grant what it returns. End each popped item by one call:
// RevertStart() if the grant was declined or expired, or RecordEnd() when the
// request has ended, whether it completed or not. The queue counts running
// requests by these calls.
//
// Push, Withdraw and PopNext take O(log n) with n requests waiting, and PopNext
// O(k) with k classes. Thread safety: none; one thread owns a queue.
class WorkQueue {
 public:
  WorkQueue();
  ~WorkQueue();
  WorkQueue(WorkQueue&&) noexcept;
  WorkQueue& operator=(WorkQueue&&) noexcept;

  // Sets targets and floors. Waiting requests stay; a class that isn't
  // configured has no floor.
  void Configure(const std::vector<ServiceClass>& classes);

  // Adds a request. Precondition: its handle isn't in the queue.
  void Push(const QueueItem& item, Millis now);

  // Removes a request.
  // @return false if the handle isn't in the queue.
  bool Withdraw(uint64_t handle, Millis now);

  // Removes the next request to start, counts it as running and charges its
  // work to its class.
  // @return nothing if no request may start now.
  std::optional<QueueItem> PopNext(Millis now, const SlotLimits& limits);

  // Records that a popped request didn't start here: reverts the count and the
  // charge.
  void RevertStart(const QueueItem& item);

  // Records that a popped request has ended: corrects the charge.
  // @param output tokens that were generated here.
  void RecordEnd(const QueueItem& item, Tokens output);

  // Records that a popped request has become a suspect since it was pushed.
  // @return the item to use from now on.
  QueueItem MarkSuspect(const QueueItem& item);

  // Records the first token of a popped request. The time that it took
  // determines which waiting requests count as late. Until then, lower tiers
  // wait: the prefill of a prompt slows the answers of all running requests.
  // @param since_start time since the request was handed to the upstream.
  void OnFirstToken(const QueueItem& item, Millis since_start);

  // Removes and returns the requests whose deadline has passed.
  std::vector<QueueItem> TakeExpired(Millis now);

  // @return the estimated wait of a request of that class if it were pushed
  // now.
  Millis ExpectedWait(const ClassId& class_id,
                      Millis now,
                      const SlotLimits& limits) const;

  // @return the number of waiting requests, in all and of one class.
  size_t size() const;
  size_t SizeOf(const ClassId& class_id) const;

  // @return the number of running requests, in all and of one class.
  int running() const;
  int RunningOf(const ClassId& class_id) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_WORK_QUEUE_H_
