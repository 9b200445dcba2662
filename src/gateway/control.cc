#include "src/gateway/control.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace bergamotscale::gateway {
namespace {

using keyed_log::Record;

// Logs one line when a log service fails and one when it recovers.
class Availability {
 public:
  Availability(std::string name, DecisionLog* log)
      : name_(std::move(name)), log_(log) {}

  void OnFailure(const Error& error, Millis now) {
    if (!lost_) {
      lost_ = true;
      lost_at_ = now;
      log_->Write(LogLine("dependency_lost")
                      .Add("name", name_)
                      .Add("reason", error.Message()));
    }
  }
  void OnSuccess(Millis now) {
    if (lost_) {
      lost_ = false;
      log_->Write(LogLine("dependency_regained")
                      .Add("name", name_)
                      .Add("after_ms", (now - lost_at_).count()));
    }
  }

 private:
  const std::string name_;
  DecisionLog* const log_;
  bool lost_ = false;
  Millis lost_at_;
};

}  // namespace

class Control::Impl {
 public:
  Impl(boost::asio::io_context& io,
       Clock boot,
       ControlSources sources,
       ControlOptions options,
       ControlState* state,
       DecisionLog* log,
       std::function<void()> on_change)
      : boot_(boot),
        sources_(std::move(sources)),
        state_(state),
        log_(log),
        on_change_(std::move(on_change)),
        directory_(options.lapsed_retention_),
        config_(io,
                boot,
                sources_.config_,
                ConfigOptions(options),
                ConfigHooks()),
        upstreams_(io,
                   boot,
                   sources_.upstreams_,
                   UpstreamOptions(options),
                   UpstreamHooks()) {}

  void Start() {
    config_.Start();
    upstreams_.Start();
  }

  void OfferPeerConfig(const std::string& document, Millis as_of) {
    Result<route::RouteTable::Content> content =
        sources_.decode_table_(document);
    if (!content.ok()) {
      log_->Write(LogLine("peer_config_unreadable")
                      .Add("reason", content.error().Message()));
      return;
    }
    if (!IsNewer(content.value())) {
      return;
    }
    // What the log had confirmed was of an older version, so it may be later.
    state_->table_as_of_ = std::min(state_->table_as_of_.load(), as_of.count());
    PutInForce(std::move(content).value(), document, "peer");
    state_->table_as_of_ = as_of.count();
  }

 private:
  static keyed_log::FollowerOptions ConfigOptions(
      const ControlOptions& options) {
    keyed_log::FollowerOptions follower;
    follower.wait_ = options.config_wait_;
    follower.retry_pause_ = options.retry_pause_;
    return follower;
  }

  static keyed_log::FollowerOptions UpstreamOptions(
      const ControlOptions& options) {
    keyed_log::FollowerOptions follower;
    follower.wait_ = Millis(0);
    follower.pause_ = options.upstreams_poll_interval_;
    follower.retry_pause_ = options.retry_pause_;
    return follower;
  }

  keyed_log::FollowerHooks ConfigHooks() {
    keyed_log::FollowerHooks hooks;
    hooks.on_snapshot_ = [this](const std::vector<Record>& records) {
      for (const Record& record : records) {
        ApplyConfigRecord(record);
      }
    };
    hooks.on_record_ = [this](const Record& record) {
      ApplyConfigRecord(record);
    };
    hooks.on_confirmed_ = [this](Millis as_of) {
      config_available_.OnSuccess(boot_.Now());
      ConfirmTable(as_of);
    };
    hooks.on_restored_ = [this](LogEra era) {
      shown_version_ = 0;
      LogRestored("configuration log", era);
    };
    hooks.on_unavailable_ = [this](const Error& error) {
      config_available_.OnFailure(error, boot_.Now());
    };
    return hooks;
  }

  void ApplyConfigRecord(const Record& record) {
    if (record.key_ != sources_.config_key_ || !record.value_.has_value()) {
      return;
    }
    Result<route::RouteTable::Content> content =
        sources_.decode_table_(*record.value_);
    if (!content.ok()) {
      log_->Write(LogLine("config_unreadable")
                      .Add("offset", record.offset_.value())
                      .Add("reason", content.error().Message()));
      return;
    }
    shown_version_ = std::max(shown_version_, content.value().version_);
    if (IsNewer(content.value())) {
      PutInForce(std::move(content).value(), *record.value_, "log");
    }
  }

  // @return whether the content is newer than what is in force.
  bool IsNewer(const route::RouteTable::Content& content) const {
    return state_->table_.Read() == nullptr ||
           content.version_ > state_->Version();
  }

  void PutInForce(route::RouteTable::Content content,
                  const std::string& document,
                  const char* origin) {
    auto table = std::make_shared<const route::RouteTable>(std::move(content));
    log_->Write(LogLine("config_in_force")
                    .Add("version", table->version())
                    .Add("routes", static_cast<int64_t>(table->routes().size()))
                    .Add("origin", origin));
    state_->table_.Write(std::move(table));
    state_->document_.Write(document);
    on_change_();
  }

  // A log that was restored may have forgotten versions that it accepted. What
  // it shows proves nothing new until it has reached the version in force
  // again.
  void ConfirmTable(Millis as_of) {
    if (state_->table_.Read() == nullptr) {
      return;
    }
    const int64_t version = state_->Version();
    const int64_t peer_version = state_->peer_version_;
    const bool is_behind = shown_version_ < std::max(version, peer_version);
    if (is_behind != is_behind_) {
      is_behind_ = is_behind;
      log_->Write(
          LogLine(is_behind ? "config_log_behind" : "config_log_caught_up")
              .Add("shown_version", shown_version_)
              .Add("version", version)
              .Add("peer_version", peer_version)
              .Add("config_age_ms", state_->TableAge(boot_.Now()).count()));
    }
    if (!is_behind) {
      state_->table_as_of_ = as_of.count();
    }
    const bool peer_is_ahead = is_behind && peer_version > version;
    if (!peer_is_ahead) {
      peer_is_ahead_since_.reset();
    } else if (!peer_is_ahead_since_.has_value()) {
      peer_is_ahead_since_ = boot_.Now();
    } else if (as_of >= *peer_is_ahead_since_) {
      // The log would have shown the peer's version, had it not forgotten it.
      // What it confirmed since then was of an older one.
      state_->table_as_of_ = -1;
    }
  }

  void LogRestored(const char* name, LogEra era) {
    ++state_->log_restores_;
    log_->Write(
        LogLine("log_restored").Add("name", name).Add("era", era.value()));
  }

  keyed_log::FollowerHooks UpstreamHooks() {
    keyed_log::FollowerHooks hooks;
    hooks.on_snapshot_ = [this](const std::vector<Record>& records) {
      directory_.OnRegistryAvailable(boot_.Now());
      ApplyUpstreamSnapshot(records);
    };
    hooks.on_record_ = [this](const Record& record) {
      // The directory must leave its outage state before records are applied.
      directory_.OnRegistryAvailable(boot_.Now());
      ApplyUpstreamRecord(record);
    };
    hooks.on_confirmed_ = [this](Millis as_of) {
      upstreams_available_.OnSuccess(boot_.Now());
      OnUpstreamsConfirmed(as_of);
    };
    hooks.on_restored_ = [this](LogEra era) {
      directory_.OnRegistryRestored(boot_.Now());
      LogRestored("upstream registry", era);
    };
    hooks.on_unavailable_ = [this](const Error& error) {
      directory_.OnRegistryUnavailable();
      upstreams_available_.OnFailure(error, boot_.Now());
    };
    return hooks;
  }

  void ApplyUpstreamSnapshot(const std::vector<Record>& records) {
    std::vector<route::UpstreamEntry> entries;
    for (const Record& record : records) {
      if (!record.value_.has_value()) {
        continue;
      }
      Result<route::UpstreamEntry> entry =
          sources_.decode_upstream_(record.key_, *record.value_);
      if (entry.ok()) {
        entries.push_back(std::move(entry).value());
      } else {
        LogUnreadable(record, entry.error());
      }
    }
    directory_.Replace(entries, boot_.Now());
    changed_ = true;
  }

  void ApplyUpstreamRecord(const Record& record) {
    const InstanceId id(record.key_);
    if (!record.value_.has_value()) {
      const bool removed = directory_.Remove(id, boot_.Now());
      changed_ = true;
      log_->Write(LogLine("upstream_removed")
                      .Add("upstream", record.key_)
                      .Add("kept_as_lapsed", removed ? 0 : 1)
                      .Add("offset", record.offset_.value())
                      .Add("read_age_ms", UpstreamsAge().count()));
      return;
    }
    Result<route::UpstreamEntry> entry =
        sources_.decode_upstream_(record.key_, *record.value_);
    if (!entry.ok()) {
      LogUnreadable(record, entry.error());
      return;
    }
    const auto change = directory_.Put(entry.value(), boot_.Now());
    if (change == route::Directory::Change::kNone) {
      return;
    }
    const bool is_outdated = change == route::Directory::Change::kOutdated;
    changed_ = changed_ || !is_outdated;
    log_->Write(
        LogLine(is_outdated ? "upstream_entry_outdated" : "upstream_changed")
            .Add("upstream", record.key_)
            .Add("group", entry.value().group_.value())
            .Add("draining", entry.value().draining_ ? 1 : 0)
            .Add("started_at", entry.value().started_at_)
            .Add("sequence", entry.value().sequence_)
            .Add("offset", record.offset_.value()));
  }

  // @return the time since the registry was last read up to its end.
  Millis UpstreamsAge() const { return state_->UpstreamsAge(boot_.Now()); }

  void LogUnreadable(const Record& record, const Error& error) {
    log_->Write(LogLine("upstream_unreadable")
                    .Add("upstream", record.key_)
                    .Add("reason", error.Message()));
  }

  void OnUpstreamsConfirmed(Millis as_of) {
    const Millis now = boot_.Now();
    directory_.OnRegistryAvailable(now);
    if (directory_.Expire(now)) {
      changed_ = true;
      log_->Write(LogLine("lapsed_upstreams_dropped"));
    }
    state_->upstreams_as_of_ = as_of.count();
    if (changed_) {
      changed_ = false;
      state_->upstreams_.Write(directory_.Entries());
      state_->lapsed_upstreams_ = static_cast<int>(directory_.CountExpired());
      on_change_();
    }
  }

  const Clock boot_;
  const ControlSources sources_;
  ControlState* const state_;
  DecisionLog* const log_;
  const std::function<void()> on_change_;
  route::Directory directory_;
  Availability config_available_{"configuration log", log_};
  Availability upstreams_available_{"upstream registry", log_};
  bool changed_ = false;
  // The newest version that the log has shown since it was last restored.
  int64_t shown_version_ = 0;
  bool is_behind_ = false;  // a newer version is in force, here or at a peer
  std::optional<Millis> peer_is_ahead_since_;
  keyed_log::Follower config_;
  keyed_log::Follower upstreams_;
};

ControlOptions MakeControlOptions(Millis max_drain_delay,
                                  Millis max_config_delay) {
  // A read may fail and be repeated within the rest of the bound.
  constexpr int64_t kPollShare = 3;
  constexpr int64_t kPollOf = 10;
  constexpr Millis kMinPoll = Millis(100);
  constexpr Millis kMaxPoll = Millis(1'200);
  // A connection that went silent is noticed after the wait and the timeout of
  // the response; keys must be confirmed again before they expire.
  constexpr int64_t kWaitShare = 2;
  constexpr Millis kMinWait = Millis(100);
  constexpr Millis kMaxWait = Millis(1'500);
  ControlOptions options;
  options.upstreams_poll_interval_ =
      std::clamp(max_drain_delay * kPollShare / kPollOf, kMinPoll, kMaxPoll);
  options.config_wait_ =
      std::clamp(max_config_delay / kWaitShare, kMinWait, kMaxWait);
  return options;
}

Control::Control(boost::asio::io_context& io,
                 Clock boot,
                 ControlSources sources,
                 ControlOptions options,
                 ControlState* state,
                 DecisionLog* log,
                 std::function<void()> on_change)
    : impl_(std::make_unique<Impl>(io,
                                   std::move(boot),
                                   std::move(sources),
                                   options,
                                   state,
                                   log,
                                   std::move(on_change))) {}

Control::~Control() = default;

void Control::Start() {
  impl_->Start();
}

void Control::OfferPeerConfig(const std::string& document, Millis as_of) {
  impl_->OfferPeerConfig(document, as_of);
}

}  // namespace bergamotscale::gateway
