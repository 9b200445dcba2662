#include "src/gateway/origin_log.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/core/chrono_time.h"
#include "src/gateway/origin_records.h"

namespace bergamotscale::gateway {
namespace {

using policy::StreamOrigins;
using policy::StreamRecord;
using policy::VersionSets;

constexpr Millis kUpdateInterval = Millis(250);
// Gateways see a new version at the same time; the first write spares the rest
// theirs.
constexpr int64_t kMaxJitterMs = 40;
constexpr Millis kRetryPause = Millis(500);
// A write takes at least so long. All gateways write to one log, one at a time.
constexpr Millis kMinWriteTime = Millis(3);
// Batches that are read at first: those of a stream's lifetime.
constexpr int64_t kMaxBatches =
    StreamOrigins::kStreamLifetime.count() / kMinWriteTime.count();
constexpr Bytes kMaxRead = Bytes(1 << 20);

std::string FormatVersions(const VersionSets& versions) {
  std::string text;
  for (const auto& [group, names] : versions) {
    for (const SoftwareVersion& name : names) {
      text += (text.empty() ? "" : ",") + group.value() + ":" + name.value();
    }
  }
  return text;
}

}  // namespace

class OriginLog::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io,
       Clock boot,
       OriginStore store,
       StreamOrigins* origins,
       std::function<Millis()> list_age,
       metrics::Metrics* metrics,
       DecisionLog* log)
      : io_(io),
        boot_(std::move(boot)),
        store_(std::move(store)),
        origins_(origins),
        list_age_(std::move(list_age)),
        metrics_(metrics),
        log_(log),
        sync_timer_(io),
        update_timer_(io),
        random_(std::random_device{}()) {}

  void Stop() {
    stopped_ = true;
    sync_timer_.cancel();
    update_timer_.cancel();
  }

  void Update() {
    if (!started_) {
      started_ = true;
      ScheduleUpdate();
    }
    if (!is_syncing_ && origins_->IsStoreOutdated(boot_.Now())) {
      // The first read is awaited by streams that are taken up.
      const int64_t jitter = has_read_ ? std::uniform_int_distribution<int64_t>(
                                             0, kMaxJitterMs)(random_)
                                       : 0;
      SyncAfter(Millis(jitter));
    }
  }

  bool is_lost() const { return is_lost_ || is_write_refused_; }

  void Refresh(std::function<void(bool)> done) {
    waiting_.push_back(std::move(done));
    if (!is_reading_) {
      StartRead();
    }
  }

  void WriteRecords() {
    if (stopped_ || is_appending_ || origins_->unwritten() == 0) {
      return;
    }
    const std::vector<StreamRecord> records = origins_->TakeUnwritten(Now());
    if (records.empty()) {
      return;
    }
    is_appending_ = true;
    appending_ = records;
    metrics_->Add("bergamot_gateway_stream_origins_written", "",
                  static_cast<int64_t>(records.size()));
    store_.append_(EncodeOrigins(records), Guard(&Impl::OnAppended));
  }

 private:
  Millis Now() const { return boot_.Now(); }

  // @return a callback that does nothing once this object has stopped.
  template <typename T>
  std::function<void(T)> Guard(void (Impl::*act)(T)) {
    return [self = shared_from_this(), act](T result) {
      if (!self->stopped_) {
        (*self.*act)(std::move(result));
      }
    };
  }

  void SyncAfter(Millis pause) {
    is_syncing_ = true;
    sync_timer_.expires_after(ToChrono(pause));
    sync_timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error && !self->stopped_) {
            self->store_.read_versions_(self->Guard(&Impl::OnVersionsRead));
          }
        });
  }

  void OnVersionsRead(Result<StoredVersions> result) {
    if (!result.ok()) {
      OnFailure("read versions", result.error());
      SyncAfter(kRetryPause);
      return;
    }
    OnSuccess();
    const StoredVersions stored = std::move(result).value();
    EnterEra(stored.era_);
    const VersionSets versions = ReadVersions(stored);
    origins_->OnStored(versions, Now());
    if (!has_read_) {
      has_read_ = true;
      log_->Write(LogLine("stream_versions_read")
                      .Add("versions", FormatVersions(versions)));
    }
    if (!origins_->IsStoreOutdated(Now()) && !is_write_unsure_) {
      is_syncing_ = false;
      return;
    }
    writing_ = origins_->PossibleVersions(Now());
    if (list_age_() > StreamOrigins::kMaxListAge) {
      // An old list shows no version that is new to it.
      for (const auto& [group, names] : versions) {
        writing_[group].insert(names.begin(), names.end());
      }
    }
    if (writing_ == versions && !is_write_unsure_) {
      is_syncing_ = false;
      return;
    }
    store_.write_versions_(EncodeVersions(writing_), stored.end_,
                           Guard(&Impl::OnVersionsWritten));
  }

  void OnVersionsWritten(Result<bool> written) {
    if (!written.ok()) {
      // Another write moves the end of the log, so that this one fails if it is
      // carried out later.
      is_write_unsure_ = true;
      is_write_refused_ = true;
      OnFailure("write versions", written.error());
      SyncAfter(kRetryPause);
      return;
    }
    if (!written.value()) {
      SyncAfter(Millis(0));
      return;
    }
    is_syncing_ = false;
    is_write_unsure_ = false;
    is_write_refused_ = false;
    origins_->OnStored(writing_, Now());
    metrics_->Add("bergamot_gateway_stream_version_writes");
    log_->Write(LogLine("stream_versions_written")
                    .Add("versions", FormatVersions(writing_)));
    Update();
  }

  void ScheduleUpdate() {
    update_timer_.expires_after(ToChrono(kUpdateInterval));
    update_timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error && !self->stopped_) {
            self->origins_->Expire(self->Now());
            self->Update();
            self->WriteRecords();
            self->ScheduleUpdate();
          }
        });
  }

  // Repeated records do no harm; lost ones make their streams unknown, which
  // refuses them.
  void OnAppended(Status appended) {
    is_appending_ = false;
    if (!appended.ok()) {
      origins_->PutBackUnwritten(appending_);
      OnFailure("write origins", appended.error());
    } else {
      OnSuccess();
      WriteRecords();
    }
  }

  void StartRead() {
    is_reading_ = true;
    is_fresh_ = false;
    answering_ = std::move(waiting_);
    waiting_.clear();
    if (Now() - read_at_ > StreamOrigins::kStreamLifetime) {
      next_.reset();
    }
    read_at_ = Now();
    store_.read_fresh_versions_(Guard(&Impl::OnFreshVersions));
  }

  void OnFreshVersions(Result<StoredVersions> result) {
    if (!result.ok()) {
      OnFailure("read versions", result.error());
      FinishRead();
      return;
    }
    const StoredVersions stored = std::move(result).value();
    EnterEra(stored.era_);
    origins_->OnStored(ReadVersions(stored), Now());
    is_fresh_ = true;
    Read();
  }

  VersionSets ReadVersions(const StoredVersions& stored) {
    if (!stored.value_.has_value()) {
      return {};
    }
    Result<VersionSets> decoded = DecodeVersions(*stored.value_);
    if (!decoded.ok()) {
      log_->Write(LogLine("stream_versions_unreadable")
                      .Add("reason", decoded.error().Message()));
      return {};
    }
    return std::move(decoded).value();
  }

  void Read() {
    // The first read only tells which offsets there are.
    store_.read_(next_.value_or(first_),
                 next_.has_value() ? kMaxRead : Bytes(0), Guard(&Impl::OnRead));
  }

  void OnRead(Result<OriginBatches> result) {
    if (!result.ok()) {
      OnFailure("read origins", result.error());
      FinishRead();
      return;
    }
    OnSuccess();
    const OriginBatches read = std::move(result).value();
    if (EnterEra(read.era_)) {
      Read();
      return;
    }
    if (read.is_expired_) {
      first_ = read.first_;
      next_.reset();
      Read();
      return;
    }
    if (!next_.has_value()) {
      next_ = LogOffset(
          std::max(read.first_.value(), read.end_.value() - kMaxBatches));
    } else {
      for (const std::string& batch : read.batches_) {
        MergeBatch(batch);
      }
      next_ = read.next_;
    }
    if (*next_ < read.end_) {
      Read();
    } else {
      FinishRead();
    }
  }

  void MergeBatch(const std::string& batch) {
    const auto records = DecodeOrigins(batch);
    if (!records.ok()) {
      log_->Write(LogLine("stream_origins_unreadable")
                      .Add("reason", records.error().Message()));
      return;
    }
    for (const StreamRecord& record : records.value()) {
      origins_->MergeWritten(record, Now());
    }
  }

  void FinishRead() {
    is_reading_ = false;
    const auto all = std::move(answering_);
    answering_.clear();
    for (const auto& done : all) {
      boost::asio::post(io_, [done, is_fresh = is_fresh_] { done(is_fresh); });
    }
    if (!waiting_.empty()) {
      StartRead();
    }
  }

  // @return whether the log was restored, so that offsets begin anew.
  bool EnterEra(LogEra era) {
    if (!era_.has_value() || era == *era_) {
      era_ = era;
      return false;
    }
    era_ = era;
    next_.reset();
    first_ = LogOffset(0);
    origins_->OnStoreLost();
    log_->Write(LogLine("log_restored")
                    .Add("name", "stream origins")
                    .Add("era", era.value()));
    return true;
  }

  void OnFailure(const char* call, const Error& error) {
    metrics_->Add("bergamot_gateway_stream_origin_log_failures", call);
    if (!std::exchange(is_lost_, true)) {
      log_->Write(LogLine("dependency_lost")
                      .Add("name", "stream origin log")
                      .Add("call", call)
                      .Add("reason", error.Message()));
    }
  }

  void OnSuccess() {
    if (std::exchange(is_lost_, false)) {
      log_->Write(
          LogLine("dependency_regained").Add("name", "stream origin log"));
    }
  }

  boost::asio::io_context& io_;
  const Clock boot_;
  const OriginStore store_;
  StreamOrigins* const origins_;
  const std::function<Millis()> list_age_;
  metrics::Metrics* const metrics_;
  DecisionLog* const log_;
  boost::asio::steady_timer sync_timer_;
  boost::asio::steady_timer update_timer_;
  std::mt19937_64 random_;
  std::optional<LogEra> era_;
  std::optional<LogOffset> next_;  // of the origins; none before a read
  LogOffset first_;                // the oldest kept, as far as known
  VersionSets writing_;
  std::vector<std::function<void(bool)>> waiting_;    // for the next read
  std::vector<std::function<void(bool)>> answering_;  // by the one in progress
  std::vector<StreamRecord> appending_;
  Millis read_at_;  // the latest read of origins
  bool started_ = false;
  bool has_read_ = false;
  bool is_write_unsure_ = false;   // a write may still be carried out
  bool is_write_refused_ = false;  // although the log may be read
  bool is_syncing_ = false;
  bool is_appending_ = false;
  bool is_reading_ = false;
  bool is_fresh_ = false;  // the versions of the read in progress
  bool is_lost_ = false;
  bool stopped_ = false;
};

OriginLog::OriginLog(boost::asio::io_context& io,
                     Clock boot,
                     OriginStore store,
                     StreamOrigins* origins,
                     std::function<Millis()> list_age,
                     metrics::Metrics* metrics,
                     DecisionLog* log)
    : impl_(std::make_shared<Impl>(io,
                                   std::move(boot),
                                   std::move(store),
                                   origins,
                                   std::move(list_age),
                                   metrics,
                                   log)) {}

OriginLog::~OriginLog() {
  impl_->Stop();
}

void OriginLog::Update() {
  impl_->Update();
}

void OriginLog::WriteRecords() {
  impl_->WriteRecords();
}

bool OriginLog::is_lost() const {
  return impl_->is_lost();
}

void OriginLog::Refresh(std::function<void(bool)> done) {
  impl_->Refresh(std::move(done));
}

}  // namespace bergamotscale::gateway
