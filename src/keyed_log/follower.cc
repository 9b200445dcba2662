#include "src/keyed_log/follower.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "src/core/chrono_time.h"

namespace bergamotscale::keyed_log {

class Follower::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io,
       Clock boot,
       Source source,
       FollowerOptions options,
       FollowerHooks hooks)
      : boot_(std::move(boot)),
        source_(std::move(source)),
        options_(options),
        hooks_(std::move(hooks)),
        timer_(io) {}

  void Start() { Rebuild(); }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

 private:
  void Rebuild() {
    pages_.clear();
    has_end_ = false;
    requested_at_ = boot_.Now();
    ReadPage("");
  }

  void ReadPage(const std::string& after) {
    source_.read_newest_(after,
                         [self = shared_from_this()](Result<NewestPage> page) {
                           if (!self->stopped_) {
                             self->OnPage(std::move(page));
                           }
                         });
  }

  // The pages were read at different times, so the tail is read from the lowest
  // end_ of all pages.
  void OnPage(Result<NewestPage> result) {
    if (!result.ok()) {
      Fail(result.error(), true);
      return;
    }
    NewestPage page = std::move(result).value();
    const EraChange change = EnterEra(page.era_);
    if (change == EraChange::kEarlier) {
      Fail(EarlierEra(), true);
      return;
    }
    if (change == EraChange::kLater && has_end_) {
      Rebuild();
      return;
    }
    next_ = has_end_ ? std::min(next_, page.end_) : page.end_;
    has_end_ = true;
    const bool has_more = page.has_more_ && !page.records_.empty();
    std::move(page.records_.begin(), page.records_.end(),
              std::back_inserter(pages_));
    if (has_more) {
      ReadPage(pages_.back().key_);
      return;
    }
    newest_.clear();
    for (const Record& record : pages_) {
      newest_[record.key_] = record.offset_;
    }
    hooks_.on_snapshot_(pages_);
    pages_.clear();
    hooks_.on_confirmed_(requested_at_);
    ReadTail();
  }

  void ReadTail() {
    requested_at_ = boot_.Now();
    source_.read_tail_(next_, options_.wait_,
                       [self = shared_from_this()](Result<Tail> tail) {
                         if (!self->stopped_) {
                           self->OnTail(std::move(tail));
                         }
                       });
  }

  void OnTail(Result<Tail> result) {
    if (!result.ok()) {
      if (result.error().code_ == ErrorCode::kRecordsExpired) {
        Rebuild();
      } else {
        Fail(result.error(), false);
      }
      return;
    }
    const Tail tail = std::move(result).value();
    const EraChange change = EnterEra(tail.era_);
    if (change == EraChange::kLater) {
      Rebuild();
      return;
    }
    if (change == EraChange::kEarlier) {
      Fail(EarlierEra(), false);
      return;
    }
    const LogOffset from = std::exchange(next_, tail.next_);
    for (const Record& record : tail.records_) {
      const auto found = newest_.find(record.key_);
      if (found == newest_.end() || found->second < record.offset_) {
        newest_[record.key_] = record.offset_;
        hooks_.on_record_(record);
      }
    }
    // After an outage, one read may return only the oldest of the records that
    // were missed. What is still missing may contradict them.
    if (tail.next_ < tail.end_) {
      if (tail.next_ > from) {
        ReadTail();
      } else {
        ScheduleAfter(options_.pause_, false);
      }
      return;
    }
    // A read that returned nothing was held for the whole wait, so no record
    // was accepted before its end.
    const bool empty = tail.next_ == from;
    const Millis as_of = empty ? requested_at_ + options_.wait_ : requested_at_;
    hooks_.on_confirmed_(std::min(as_of, boot_.Now()));
    if (empty && options_.wait_ > Millis(0)) {
      ReadTail();
    } else {
      ScheduleAfter(options_.pause_, false);
    }
  }

  enum class EraChange { kNone, kLater, kEarlier };

  // Compares the era of a result with that of the results before it.
  EraChange EnterEra(LogEra era) {
    if (!era_.has_value()) {
      era_ = era;
      return EraChange::kNone;
    }
    if (era < *era_) {
      return EraChange::kEarlier;
    }
    if (era == *era_) {
      return EraChange::kNone;
    }
    era_ = era;
    if (hooks_.on_restored_) {
      hooks_.on_restored_(era);
    }
    return EraChange::kLater;
  }

  static Error EarlierEra() {
    return {ErrorCode::kLogUnavailable, "answer of an earlier era"};
  }

  void Fail(const Error& error, bool rebuild) {
    hooks_.on_unavailable_(error);
    ScheduleAfter(options_.retry_pause_, rebuild);
  }

  void ScheduleAfter(Millis pause, bool rebuild) {
    timer_.expires_after(ToChrono(pause));
    timer_.async_wait([self = shared_from_this(),
                       rebuild](const boost::system::error_code& error) {
      if (error || self->stopped_) {
        return;
      }
      if (rebuild) {
        self->Rebuild();
      } else {
        self->ReadTail();
      }
    });
  }

  const Clock boot_;
  const Source source_;
  const FollowerOptions options_;
  const FollowerHooks hooks_;
  boost::asio::steady_timer timer_;
  std::unordered_map<std::string, LogOffset> newest_;
  std::vector<Record> pages_;
  LogOffset next_;
  std::optional<LogEra> era_;
  Millis requested_at_;
  bool has_end_ = false;
  bool stopped_ = false;
};

Follower::Follower(boost::asio::io_context& io,
                   Clock boot,
                   Source source,
                   FollowerOptions options,
                   FollowerHooks hooks)
    : impl_(std::make_shared<Impl>(io,
                                   std::move(boot),
                                   std::move(source),
                                   options,
                                   std::move(hooks))) {}

Follower::~Follower() {
  impl_->Stop();
}

void Follower::Start() {
  impl_->Start();
}

}  // namespace bergamotscale::keyed_log
