#include "src/config/config_follower.h"

#include <mutex>
#include <random>
#include <utility>

#include <glog/logging.h>

#include "src/config/document_reader.h"

namespace bergamotscale::config {
namespace {

using nlohmann::json;

// The jitter is at most the maximum snapshot age divided by this.
constexpr int64_t kJitterDivisor = 4;
// Maximum of the random delay before a due snapshot is appended. When several
// processes find it due, the others usually read the first one's snapshot in
// time and append none.
constexpr Millis kMaxAppendDelay = Millis(500);

}  // namespace

class ConfigFollower::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(log::LogClient& client,
       ConfigFollowerOptions options,
       ChangeHook on_change)
      : client_(client),
        options_(std::move(options)),
        on_change_(std::move(on_change)),
        random_(options_.seed_) {
    DrawJitter();
  }

  void Start() {
    log::FollowerHooks hooks;
    hooks.on_record_ = [this](const log::Record& record) { OnRecord(record); };
    hooks.on_records_expired_ = [this](LogOffset next_offset) {
      OnRecordsLost(next_offset);
    };
    hooks.on_caught_up_ = [this] { OnCaughtUp(); };
    hooks.on_failed_ = [this] { OnReadFailed(); };
    follower_ = std::make_unique<log::StreamFollower>(
        client_, log::kConfigStream, options_.read_options_, std::move(hooks),
        options_.steady_);
    follower_->Start();
  }

  void Stop() {
    if (follower_) {
      follower_->Stop();
    }
  }

  void ApplyPeerOffer(Revision revision,
                      LogOffset offset,
                      const std::string& text) {
    SnapshotRecord state;
    state.revision_ = revision;
    state.as_of_ = offset;
    state.document_ = json::parse(text, nullptr, /*allow_exceptions=*/false);
    if (!state.document_.is_object()) {
      return;
    }
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    fold_.ApplyPeerOffer(state);
    peer_state_received_ = true;
    if (reached_end_ || read_failed_) {
      PutInForce();
    }
  }

  std::shared_ptr<const ConfigSnapshot> Current() const {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    return current_;
  }

  Revision revision() const {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    return fold_.revision();
  }

  bool caught_up() const {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    return fold_.complete() && follower_ && follower_->caught_up();
  }

  Millis Staleness() const { return follower_->Staleness(); }

  std::optional<PublicationOutcome> FindOutcome(const PublicationId& id) const {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    const PublicationOutcome* outcome = fold_.FindOutcome(id);
    return outcome == nullptr ? std::nullopt : std::make_optional(*outcome);
  }

  std::vector<PublicationOutcome> History() const {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    return fold_.History();
  }

 private:
  void OnRecord(const log::Record& record) {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    fold_.Apply(record);
    if (reached_end_) {
      PutInForce();
    }
  }

  // A new process puts only the newest revision in force, not the earlier ones
  // that it reads first: the process that it replaces may have had a newer one
  // in force.
  void OnCaughtUp() {
    {
      const std::lock_guard<std::recursive_mutex> lock(mutex_);
      if (!reached_end_) {
        reached_end_ = true;
        PutInForce();
      }
    }
    AppendSnapshotIfDue();
  }

  // Peers may lag behind the log, so before the end of the stream was read,
  // their state comes into force only if the log can't be read.
  void OnReadFailed() {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    read_failed_ = true;
    if (!reached_end_ && peer_state_received_) {
      PutInForce();
    }
  }

  void OnRecordsLost(LogOffset first_available) {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    fold_.OnRecordsLost(first_available);
  }

  // Precondition: mutex_ is held.
  void PutInForce() {
    if (fold_.revision_in_force() <= newest_revision_) {
      UpdateOffset();
      return;
    }
    const SnapshotRecord metadata = fold_.MetadataInForce();
    const json& document = fold_.document_in_force();
    newest_revision_ = metadata.revision_;
    settings::FieldErrors errors;
    ConfigSnapshot snapshot;
    snapshot.document_ = ReadConfigDocument(document, "revision", &errors);
    if (!errors.empty()) {
      LOG(ERROR) << "revision " << newest_revision_.value()
                 << " is not valid for this binary; the one before it stays "
                    "in force: "
                 << settings::JoinErrors(errors);
      return;
    }
    snapshot.revision_ = metadata.revision_;
    snapshot.offset_ = metadata.as_of_;
    snapshot.text_ = document.dump();
    snapshot.id_ = metadata.id_;
    snapshot.author_ = metadata.author_;
    snapshot.comment_ = metadata.comment_;
    current_ = std::make_shared<const ConfigSnapshot>(std::move(snapshot));
    LOG(INFO) << "configuration revision " << newest_revision_.value()
              << " is in force";
    if (on_change_) {
      on_change_(*current_);
    }
  }

  // With a later offset, a peer that starts from this state reads fewer
  // records.
  void UpdateOffset() {
    if (current_ && current_->revision_ == fold_.revision() &&
        fold_.complete() && current_->offset_ < fold_.next_offset()) {
      ConfigSnapshot newer = *current_;
      newer.offset_ = fold_.next_offset();
      current_ = std::make_shared<const ConfigSnapshot>(std::move(newer));
    }
  }

  bool SnapshotIsDue() const {
    if (!fold_.complete() || fold_.revision() == Revision(0)) {
      return false;
    }
    const Millis age = options_.wall_.Now() - fold_.restart_time();
    const int64_t records =
        fold_.next_offset().value() - fold_.restart_offset().value();
    return age > options_.max_snapshot_age_ + jitter_ ||
           records > options_.max_records_after_snapshot_ ||
           follower_->oldest() > fold_.restart_offset();
  }

  void AppendSnapshotIfDue() {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    if (!SnapshotIsDue()) {
      append_at_.reset();
      return;
    }
    const Millis now = options_.steady_.Now();
    if (!append_at_) {
      append_at_ = now + Millis(DrawUpTo(kMaxAppendDelay.count()));
    }
    if (now >= *append_at_) {
      append_at_ = now + kMaxAppendDelay;
      DrawJitter();
      AppendSnapshot();
    }
  }

  void AppendSnapshot() {
    VLOG(1) << "appending a snapshot of revision " << fold_.revision().value()
            << " to the log";
    client_.Append(log::kConfigStream,
                   EncodeRecord(fold_.MakeSnapshot(options_.wall_.Now())),
                   [](const Result<LogOffset>& offset) {
                     if (!offset.ok()) {
                       LOG(WARNING) << "appending a snapshot failed: "
                                    << offset.error().Message();
                     }
                   });
  }

  int64_t DrawUpTo(int64_t maximum) {
    return std::uniform_int_distribution<int64_t>(0, maximum)(random_);
  }

  void DrawJitter() {
    jitter_ =
        Millis(DrawUpTo(options_.max_snapshot_age_.count() / kJitterDivisor));
  }

  log::LogClient& client_;
  const ConfigFollowerOptions options_;
  const ChangeHook on_change_;
  std::unique_ptr<log::StreamFollower> follower_;

  // Held while the hook runs; recursive so that the hook may call accessors.
  mutable std::recursive_mutex mutex_;
  std::mt19937_64 random_;
  Millis jitter_;
  // When the due snapshot is appended; empty if none is due.
  std::optional<Millis> append_at_;
  ConfigFold fold_;
  // Whether, since the start, the end of the stream was reached, a read failed,
  // and a peer's state was received.
  bool reached_end_ = false;
  bool read_failed_ = false;
  bool peer_state_received_ = false;
  Revision newest_revision_;
  std::shared_ptr<const ConfigSnapshot> current_;
};

ConfigFollower::ConfigFollower(log::LogClient& client,
                               ConfigFollowerOptions options,
                               ChangeHook on_change)
    : impl_(std::make_shared<Impl>(client,
                                   std::move(options),
                                   std::move(on_change))) {}

ConfigFollower::~ConfigFollower() {
  Stop();
}

void ConfigFollower::Start() {
  impl_->Start();
}

void ConfigFollower::Stop() {
  impl_->Stop();
}

void ConfigFollower::ApplyPeerOffer(Revision revision,
                                    LogOffset offset,
                                    const std::string& text) {
  impl_->ApplyPeerOffer(revision, offset, text);
}

std::shared_ptr<const ConfigSnapshot> ConfigFollower::Current() const {
  return impl_->Current();
}

Revision ConfigFollower::revision() const {
  return impl_->revision();
}

bool ConfigFollower::caught_up() const {
  return impl_->caught_up();
}

Millis ConfigFollower::Staleness() const {
  return impl_->Staleness();
}

std::optional<PublicationOutcome> ConfigFollower::FindOutcome(
    const PublicationId& id) const {
  return impl_->FindOutcome(id);
}

std::vector<PublicationOutcome> ConfigFollower::History() const {
  return impl_->History();
}

}  // namespace bergamotscale::config
