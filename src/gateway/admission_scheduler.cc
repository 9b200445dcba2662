#include "src/gateway/admission_scheduler.h"

#include <unordered_map>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/core/chrono_time.h"

namespace bergamotscale::gateway {
namespace {

// Passes also run at an interval, because peer loads expire and requests become
// due without an event.
constexpr Millis kPassInterval = Millis(10);
// Minimum time between passes; earlier changes wait for the next interval.
constexpr Millis kMinPassSpacing = Millis(5);
// Bounds the duration of a pass when many requests are queued.
constexpr int kMaxTriesPerPass = 64;

}  // namespace

class AdmissionScheduler::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, Clock boot)
      : io_(io), boot_(std::move(boot)), timer_(io) {}

  uint64_t Enqueue(const policy::QueuedRequest& request,
                   std::function<bool()> try_admit) {
    const uint64_t id = queue_.Add(request);
    try_admit_by_id_[id] = std::move(try_admit);
    if (!pass_scheduled_) {
      SchedulePass();
    }
    return id;
  }

  void Dequeue(uint64_t id) {
    queue_.Remove(id);
    try_admit_by_id_.erase(id);
  }

  void RunPassSoon() {
    if (pass_posted_ || try_admit_by_id_.empty() ||
        boot_.Now() - last_pass_at_ < kMinPassSpacing) {
      return;
    }
    pass_posted_ = true;
    boost::asio::post(io_, [self = shared_from_this()] {
      self->pass_posted_ = false;
      self->RunPass();
    });
  }

  size_t size() const { return try_admit_by_id_.size(); }

 private:
  void RunPass() {
    last_pass_at_ = boot_.Now();
    int tried = 0;
    for (const uint64_t id : queue_.GetOrder(boot_.Now())) {
      const auto found = try_admit_by_id_.find(id);
      if (found == try_admit_by_id_.end()) {
        continue;
      }
      if (++tried > kMaxTriesPerPass) {
        return;
      }
      const std::function<bool()> try_admit = found->second;
      if (try_admit()) {
        Dequeue(id);
      }
    }
  }

  void SchedulePass() {
    pass_scheduled_ = true;
    timer_.expires_after(ToChrono(kPassInterval));
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          self->pass_scheduled_ = false;
          if (error) {
            return;
          }
          self->RunPass();
          if (!self->try_admit_by_id_.empty()) {
            self->SchedulePass();
          }
        });
  }

  boost::asio::io_context& io_;
  const Clock boot_;
  boost::asio::steady_timer timer_;
  policy::AdmissionQueue queue_;
  std::unordered_map<uint64_t, std::function<bool()>> try_admit_by_id_;
  Millis last_pass_at_;
  bool pass_posted_ = false;
  bool pass_scheduled_ = false;
};

AdmissionScheduler::AdmissionScheduler(boost::asio::io_context& io, Clock boot)
    : impl_(std::make_shared<Impl>(io, std::move(boot))) {}

AdmissionScheduler::~AdmissionScheduler() = default;

uint64_t AdmissionScheduler::Enqueue(const policy::QueuedRequest& request,
                                     std::function<bool()> try_admit) {
  return impl_->Enqueue(request, std::move(try_admit));
}

void AdmissionScheduler::Dequeue(uint64_t id) {
  impl_->Dequeue(id);
}

void AdmissionScheduler::RunPassSoon() {
  impl_->RunPassSoon();
}

size_t AdmissionScheduler::size() const {
  return impl_->size();
}

}  // namespace bergamotscale::gateway
