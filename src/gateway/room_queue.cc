#include "src/gateway/room_queue.h"

#include <unordered_map>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/core/chrono_time.h"

namespace bergamotscale::gateway {
namespace {

// Loads of peers fade and requests come due without an event.
constexpr Millis kPace = Millis(10);
// Between turns; what changes sooner waits for the pace.
constexpr Millis kLeastSpacing = Millis(5);
// Requests tried in a turn: bounds the time of a turn when many wait.
constexpr int kTriesPerTurn = 64;

}  // namespace

class RoomQueue::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, Clock boot)
      : io_(io), boot_(std::move(boot)), timer_(io) {}

  uint64_t Wait(const policy::WaitingRequest& request,
                std::function<bool()> try_now) {
    const uint64_t id = room_.Add(request);
    tries_[id] = std::move(try_now);
    if (!paced_) {
      Pace();
    }
    return id;
  }

  void Leave(uint64_t id) {
    room_.Remove(id);
    tries_.erase(id);
  }

  void Kick() {
    if (kicked_ || tries_.empty() || boot_.Now() - last_turn_ < kLeastSpacing) {
      return;
    }
    kicked_ = true;
    boost::asio::post(io_, [self = shared_from_this()] {
      self->kicked_ = false;
      self->Turn();
    });
  }

  size_t size() const { return tries_.size(); }

 private:
  void Turn() {
    last_turn_ = boot_.Now();
    int tried = 0;
    for (const uint64_t id : room_.Order(boot_.Now())) {
      const auto found = tries_.find(id);
      if (found == tries_.end()) {
        continue;
      }
      if (++tried > kTriesPerTurn) {
        return;
      }
      const std::function<bool()> try_now = found->second;
      if (try_now()) {
        Leave(id);
      }
    }
  }

  void Pace() {
    paced_ = true;
    timer_.expires_after(ToChrono(kPace));
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          self->paced_ = false;
          if (error) {
            return;
          }
          self->Turn();
          if (!self->tries_.empty()) {
            self->Pace();
          }
        });
  }

  boost::asio::io_context& io_;
  const Clock boot_;
  boost::asio::steady_timer timer_;
  policy::WaitingRoom room_;
  std::unordered_map<uint64_t, std::function<bool()>> tries_;
  Millis last_turn_;
  bool kicked_ = false;
  bool paced_ = false;
};

RoomQueue::RoomQueue(boost::asio::io_context& io, Clock boot)
    : impl_(std::make_shared<Impl>(io, std::move(boot))) {}

RoomQueue::~RoomQueue() = default;

uint64_t RoomQueue::Wait(const policy::WaitingRequest& request,
                         std::function<bool()> try_now) {
  return impl_->Wait(request, std::move(try_now));
}

void RoomQueue::Leave(uint64_t id) {
  impl_->Leave(id);
}

void RoomQueue::Kick() {
  impl_->Kick();
}

size_t RoomQueue::size() const {
  return impl_->size();
}

}  // namespace bergamotscale::gateway
