#include "src/log/stream_follower.h"

#include <mutex>
#include <utility>

#include <glog/logging.h>

#include "src/http/timer.h"

namespace bergamotscale::log {

class StreamFollower::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(LogClient& client,
       std::string stream,
       FollowerOptions options,
       FollowerHooks hooks,
       Clock clock)
      : client_(client),
        stream_(std::move(stream)),
        options_(options),
        hooks_(std::move(hooks)),
        clock_(std::move(clock)),
        expired_(options.from_ == kFromOldest),
        next_(options.from_),
        fresh_at_(clock_.Now()) {}

  void ReadNext() {
    const std::lock_guard<std::recursive_mutex> lock(delivery_mutex_);
    if (stopped_) {
      return;
    }
    // Before the end of the stream, records are available without a wait.
    const Millis wait = caught_up() ? options_.poll_wait_ : Millis(0);
    const Millis started = clock_.Now();
    client_.Read(stream_, next(), wait,
                 [self = shared_from_this(), started](Result<ReadPage> page) {
                   self->OnRead(started, std::move(page));
                 });
  }

  void Stop() {
    const std::lock_guard<std::recursive_mutex> lock(delivery_mutex_);
    stopped_ = true;
  }

  bool caught_up() const {
    const std::lock_guard<std::mutex> lock(state_mutex_);
    return caught_up_;
  }

  Millis Staleness() const {
    const std::lock_guard<std::mutex> lock(state_mutex_);
    return clock_.Now() - fresh_at_;
  }

  LogOffset oldest() const {
    const std::lock_guard<std::mutex> lock(state_mutex_);
    return oldest_;
  }

  LogOffset next() const {
    const std::lock_guard<std::mutex> lock(state_mutex_);
    return next_;
  }

 private:
  void OnRead(Millis started, Result<ReadPage> page) {
    {
      const std::lock_guard<std::recursive_mutex> lock(delivery_mutex_);
      if (stopped_) {
        return;
      }
      if (page.ok()) {
        Deliver(started, page.value());
      } else if (page.error().code_ == ErrorCode::kRecordsExpired) {
        SetNext(kFromOldest);
        expired_ = true;
      } else {
        VLOG(1) << stream_ << ": read failed: " << page.error().Message();
        if (hooks_.on_failed_) {
          hooks_.on_failed_();
        }
        http::CallAfter(options_.retry_delay_,
                        [self = shared_from_this()] { self->ReadNext(); });
        return;
      }
    }
    ReadNext();
  }

  void Deliver(Millis started, const ReadPage& page) {
    if (expired_) {
      expired_ = false;
      ReportExpired(page);
    }
    for (const Record& record : page.records_) {
      // Skips records that were already delivered.
      if (record.offset_ >= next()) {
        hooks_.on_record_(record);
        SetNext(LogOffset(record.offset_.value() + 1));
      }
      if (stopped_) {
        return;
      }
    }
    if (page.next_ > next()) {
      SetNext(page.next_);
    }
    SetOldest(page.oldest_);
    if (page.records_.size() < kMaxRecordsPerPage) {
      SetCaughtUp(started);
    }
  }

  void ReportExpired(const ReadPage& page) {
    const LogOffset first_available =
        page.records_.empty() ? page.next_ : page.records_.front().offset_;
    if (first_available == LogOffset(0)) {
      return;
    }
    LOG(WARNING) << stream_ << ": records before " << first_available.value()
                 << " can't be read any more";
    if (hooks_.on_records_expired_) {
      hooks_.on_records_expired_(first_available);
    }
  }

  void SetNext(LogOffset next) {
    const std::lock_guard<std::mutex> lock(state_mutex_);
    next_ = next;
  }

  void SetOldest(LogOffset oldest) {
    const std::lock_guard<std::mutex> lock(state_mutex_);
    oldest_ = oldest;
  }

  void SetCaughtUp(Millis started) {
    {
      const std::lock_guard<std::mutex> lock(state_mutex_);
      caught_up_ = true;
      fresh_at_ = started;
    }
    if (hooks_.on_caught_up_) {
      hooks_.on_caught_up_();
    }
  }

  LogClient& client_;
  const std::string stream_;
  const FollowerOptions options_;
  const FollowerHooks hooks_;
  const Clock clock_;

  // Held while hooks run; recursive so that a hook may stop the follower.
  std::recursive_mutex delivery_mutex_;
  bool stopped_ = false;
  // Whether the next page may start after records that were never read.
  bool expired_;

  mutable std::mutex state_mutex_;
  LogOffset next_;
  LogOffset oldest_;
  bool caught_up_ = false;
  Millis fresh_at_;
};

StreamFollower::StreamFollower(LogClient& client,
                               std::string stream,
                               FollowerOptions options,
                               FollowerHooks hooks,
                               Clock clock)
    : impl_(std::make_shared<Impl>(client,
                                   std::move(stream),
                                   options,
                                   std::move(hooks),
                                   std::move(clock))) {}

StreamFollower::~StreamFollower() {
  Stop();
}

void StreamFollower::Start() {
  impl_->ReadNext();
}

void StreamFollower::Stop() {
  impl_->Stop();
}

bool StreamFollower::caught_up() const {
  return impl_->caught_up();
}

Millis StreamFollower::Staleness() const {
  return impl_->Staleness();
}

LogOffset StreamFollower::next() const {
  return impl_->next();
}

LogOffset StreamFollower::oldest() const {
  return impl_->oldest();
}

}  // namespace bergamotscale::log
