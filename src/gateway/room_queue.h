// Holds exchanges until there is room at an engine.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_ROOM_QUEUE_H_
#define BERGAMOTSCALE_SRC_GATEWAY_ROOM_QUEUE_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/clock.h"
#include "src/policy/waiting_room.h"

namespace bergamotscale::gateway {

// Tries the waiting requests in the order of policy::WaitingRoom whenever the
// load may have changed, and at a steady pace.
// Thread safety: use from the traffic thread.
class RoomQueue {
 public:
  RoomQueue(boost::asio::io_context& io, Clock boot);
  ~RoomQueue();
  RoomQueue(const RoomQueue&) = delete;
  RoomQueue& operator=(const RoomQueue&) = delete;

  // @param try_now called with the queue's turn; returns whether the request
  // no longer waits. It must not call Add().
  // @return the name by which Leave() knows it.
  uint64_t Wait(const policy::WaitingRequest& request,
                std::function<bool()> try_now);
  void Leave(uint64_t id);

  // The load has changed: tries the waiting requests soon.
  void Kick();

  // @return requests that wait.
  size_t size() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_ROOM_QUEUE_H_
