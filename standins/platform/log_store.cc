#include "standins/platform/log_store.h"

#include <algorithm>
#include <utility>

namespace bergamotscale::standins {
namespace {

constexpr Millis kLimitWindow = Millis(1000);

}  // namespace

LogStore::LogStore(LogStoreOptions options) : options_(options) {}

void LogStore::Expire(Stream& stream, Millis now) const {
  const auto limit = static_cast<size_t>(options_.retained_records_);
  while (!stream.entries_.empty() &&
         (stream.entries_.size() > limit ||
          now - stream.entries_.front().time_ > options_.retention_)) {
    stream.entries_.pop_front();
    ++stream.first_;
  }
}

bool LogStore::ConsumeAppendQuota(Millis now) {
  while (!recent_appends_.empty() &&
         now - recent_appends_.front() >= kLimitWindow) {
    recent_appends_.pop_front();
  }
  if (recent_appends_.size() >=
      static_cast<size_t>(options_.appends_per_second_)) {
    return false;
  }
  recent_appends_.push_back(now);
  return true;
}

Result<LogOffset> LogStore::Append(const std::string& stream,
                                   std::string payload,
                                   Millis now) {
  if (!ConsumeAppendQuota(now)) {
    return ErrorCode::kRateLimited;
  }
  Stream& target = streams_[stream];
  target.entries_.push_back({now, std::move(payload)});
  const auto count = static_cast<int64_t>(target.entries_.size());
  const LogOffset offset(target.first_ + count - 1);
  Expire(target, now);
  return offset;
}

void LogStore::Restore(const std::string& stream,
                       std::string payload,
                       Millis time) {
  streams_[stream].entries_.push_back({time, std::move(payload)});
}

Result<log::ReadPage> LogStore::Read(const std::string& stream,
                                     LogOffset from,
                                     size_t max,
                                     Millis now) {
  Stream& source = streams_[stream];
  Expire(source, now);
  log::ReadPage page;
  page.oldest_ = LogOffset(source.first_);
  if (from == log::kFromOldest) {
    from = page.oldest_;
  }
  if (from < page.oldest_) {
    return ErrorCode::kRecordsExpired;
  }
  const auto count = static_cast<int64_t>(source.entries_.size());
  int64_t position = from.value() - source.first_;
  while (position < count && page.records_.size() < max) {
    const Entry& entry = source.entries_[static_cast<size_t>(position)];
    page.records_.push_back(
        {LogOffset(source.first_ + position), entry.payload_});
    ++position;
  }
  page.next_ = LogOffset(source.first_ + position);
  return page;
}

}  // namespace bergamotscale::standins
