// Queues exchanges until an upstream has capacity.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_ADMISSION_SCHEDULER_H_
#define BERGAMOTSCALE_SRC_GATEWAY_ADMISSION_SCHEDULER_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/clock.h"
#include "src/policy/admission_queue.h"

namespace bergamotscale::gateway {

// Tries to admit queued requests in passes over the queue, in the order of
// policy::AdmissionQueue. A pass runs at a fixed interval and whenever the load
// may have changed. Thread safety: use from the traffic thread.
class AdmissionScheduler {
 public:
  AdmissionScheduler(boost::asio::io_context& io, Clock boot);
  ~AdmissionScheduler();
  AdmissionScheduler(const AdmissionScheduler&) = delete;
  AdmissionScheduler& operator=(const AdmissionScheduler&) = delete;

  // @param try_admit called when a pass reaches the request; returns whether
  // the request has left the queue. It must not call Enqueue().
  // @return the id for Dequeue().
  uint64_t Enqueue(const policy::QueuedRequest& request,
                   std::function<bool()> try_admit);
  void Dequeue(uint64_t id);

  // Runs a pass soon, because the load has changed.
  void RunPassSoon();

  // @return the number of queued requests.
  size_t size() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_ADMISSION_SCHEDULER_H_
