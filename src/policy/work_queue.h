// The queue of one upstream, which holds the reservations of all entries and
// says which to grant next.
#ifndef BERGAMOTSCALE_SRC_POLICY_WORK_QUEUE_H_
#define BERGAMOTSCALE_SRC_POLICY_WORK_QUEUE_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "bergamotscale/config_document.h"
#include "src/policy/types.h"

namespace bergamotscale::policy {

// Orders requests by the slack to their class's first-token target, weighted
// by tier. A class goes before one of a higher tier only if the latter's
// requests can wait that long. In a class, requests that can still be on time
// go before late ones. A class whose floor share of the work is due starts
// beyond the limit, if nothing may start within it.
//
// Use: Push() a reservation; when something changes, call PopNext() until it
// yields nothing, and grant what it yields. Each item popped ends by one call:
// Return() if the grant was turned down or lapsed, or Settle() when the
// request has ended, however it did. The queue counts what runs by these.
// Push, Withdraw and PopNext take O(log n) with n requests waiting, and
// PopNext O(k) with k classes.
// Thread safety: none; one thread owns a queue.
class WorkQueue {
 public:
  WorkQueue();
  ~WorkQueue();
  WorkQueue(WorkQueue&&) noexcept;
  WorkQueue& operator=(WorkQueue&&) noexcept;

  // Takes over targets and floors. Requests waiting stay; a class that isn't
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

  // A popped request didn't start here: takes back count and charge.
  void Return(const QueueItem& item);

  // A popped request has ended: corrects the charge.
  // @param output tokens that it wrote here.
  void Settle(const QueueItem& item, Tokens output);

  // A popped request has become a suspect since it was pushed.
  // @return the item to use from now on.
  QueueItem MarkSuspect(const QueueItem& item);

  // A popped request's first token has come. Lateness is judged by how long
  // that takes, and lower tiers wait while others are at it: the prefill of a
  // prompt slows the answers of all that run.
  // @param since_start time since the request was handed to the upstream.
  void OnFirstToken(const QueueItem& item, Millis since_start);

  // Removes the requests whose deadline has passed.
  std::vector<QueueItem> TakeExpired(Millis now);

  // @return the time that a request of that class, pushed now, would wait.
  Millis ExpectedWait(const ClassId& class_id,
                      Millis now,
                      const SlotLimits& limits) const;

  // @return how many requests wait, in all and of one class.
  size_t size() const;
  size_t SizeOf(const ClassId& class_id) const;

  // @return how many popped requests run, in all and of one class.
  int running() const;
  int RunningOf(const ClassId& class_id) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_WORK_QUEUE_H_
