#include "src/gateway/duty_controller.h"

#include <algorithm>
#include <map>
#include <variant>

#include <xxhash.h>

#include "src/duties/usage_ledger.h"
#include "src/duties/wall_clock_estimate.h"
#include "src/lease/lease_keeper.h"

namespace bergamotscale::gateway {
namespace {

using duties::DutyState;
using duties::WindowId;

// Datagrams are due every 300 ms at most, so several in a row must be lost
// before a gateway takes the holder for dead.
constexpr Millis kTokenSilence = Millis(2'000);
// Candidates appear one after the other, so that most takeovers need only one
// of them to read the store.
constexpr Millis kSilencePerRank = Millis(500);
constexpr int kMaxRank = 8;
// A gateway without datagrams for this long has no rank.
constexpr Millis kRankLifetime = Millis(3'000);
// Windows wait for its counts longer, as it may only be cut off. The rules of
// duties::Advance() bound the wait.
constexpr Millis kMemberLifetime = Millis(10'000);
constexpr Millis kCandidateReadInterval = Millis(1'000);
constexpr Millis kHolderReadInterval = Millis(500);
constexpr Millis kUsageInterval = Millis(1'000);
constexpr Millis kExpireInterval = Millis(1'000);
constexpr Millis kDecideInterval = Millis(250);
// A call that is on its way when the lease expires may be carried out after
// one of the next holder. The API answers within about this time.
constexpr Millis kMaxCallTime = Millis(1'000);
// Clocks of different machines don't run at exactly the same rate.
constexpr double kLeaseWaitFactor = 1.2;
// Tokens of a later era of the store are higher than all earlier ones.
constexpr int kTokenOffsetBits = 40;

lease::Fence MakeToken(LogEra era, LogOffset offset) {
  return lease::Fence((era.value() << kTokenOffsetBits) + offset.value() + 1);
}

// Spreads the ranks of gateways with neighboring addresses.
std::pair<uint64_t, uint64_t> RankKey(uint64_t member) {
  return {XXH3_64bits(&member, sizeof(member)), member};
}

}  // namespace

class DutyController::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(DutyOptions options,
       Clock boot,
       Clock wall,
       DutyStore store,
       DutyCalls calls,
       metrics::Metrics* metrics,
       DecisionLog* log)
      : options_(std::move(options)),
        rules_{options_.settings_.report_window_,
               options_.settings_.usage_late_},
        boot_(std::move(boot)),
        wall_(std::move(wall)),
        store_(std::move(store)),
        calls_(std::move(calls)),
        metrics_(metrics),
        log_(log),
        ledger_(options_.member_, options_.incarnation_, rules_.window_length_),
        started_at_(boot_.Now()),
        token_heard_at_(started_at_) {
    estimate_.OnPeer(options_.member_, wall_.Now(), boot_.Now());
    MakeKeeper();
    UsageReporter::Hooks hooks;
    hooks.report_ = calls_.report_usage_;
    hooks.true_time_ = [this] { return TrueTime(); };
    hooks.on_fenced_ = [this](lease::Fence fence) { OnFenced(fence); };
    reporter_ = std::make_shared<UsageReporter>(rules_, boot_, std::move(hooks),
                                                metrics_, log_);
  }

  void Stop() {
    stopped_ = true;
    reporter_->Stop();
  }

  void Update() {
    const Millis now = boot_.Now();
    estimate_.OnPeer(options_.member_, wall_.Now(), now);
    if (now - expired_at_ >= kExpireInterval) {
      expired_at_ = now;
      Expire(now);
    }
    CheckExpiry();
    SendReport();
    if (!is_busy_) {
      UpdateStore(now);
    }
    metrics_->Set("bergamot_gateway_duty_token", "",
                  static_cast<double>(token().value()));
  }

  void CountRequest(const WorkspaceId& workspace) {
    if (!ledger_.Record(workspace, TrueTime())) {
      metrics_->Add("bergamot_gateway_duty_requests_not_counted");
      if (!std::exchange(limit_logged_, true)) {
        log_->Write(LogLine("duty_count_limit")
                        .Add("workspace", workspace.value())
                        .Add("window", CurrentWindow()));
      }
    }
  }

  DutyMessage TakeMessage() {
    DutyMessage message;
    message.duty_token_ = token();
    message.wall_ = wall_.Now();
    const Millis now = boot_.Now();
    const WindowId closed = duties::WindowAt(
        TrueTime() - duties::UsageLedger::kCloseDelay, rules_.window_length_);
    if (now - usage_sent_at_ >= kUsageInterval || closed != closed_sent_) {
      usage_sent_at_ = now;
      closed_sent_ = closed;
      message.usage_ = ledger_.Own(TrueTime());
    }
    return message;
  }

  void OnMessage(uint64_t member, const DutyMessage& message) {
    const Millis now = boot_.Now();
    members_[member] = now;
    estimate_.OnPeer(member, message.wall_, now);
    if (message.duty_token_ > lease::Fence(0)) {
      token_heard_at_ = now;
      last_holder_ = member;
      has_known_holder_ = true;
    }
    if (message.usage_.has_value()) {
      duties::MemberUsage usage = *message.usage_;
      usage.member_ = member;
      MergeUsage(usage);
    }
  }

  lease::Fence token() const {
    return IsHolder(Millis(0)) ? *keeper_->fence() : lease::Fence(0);
  }

 private:
  // What a candidate watches for a change.
  struct LeaseEntry {
    LogEra era_;
    LogOffset offset_;
    std::optional<std::string> value_;

    bool operator==(const LeaseEntry& other) const {
      return era_ == other.era_ && offset_ == other.offset_ &&
             value_ == other.value_;
    }
  };

  // What this gateway knew of the state when the store was restored from a
  // copy; it holds as long as nobody has written to the restored log.
  struct CarriedState {
    LogEra era_;
    LogOffset end_;
    DutyState state_;
  };

  template <typename T>
  std::function<void(T)> Guard(void (Impl::*act)(T)) {
    return [self = shared_from_this(), act](T result) {
      if (!self->stopped_) {
        (*self.*act)(std::move(result));
      }
    };
  }

  Millis TrueTime() const { return estimate_.Now(boot_.Now()); }
  WindowId CurrentWindow() const {
    return duties::WindowAt(TrueTime(), rules_.window_length_);
  }

  void MergeUsage(const duties::MemberUsage& usage) {
    if (!ledger_.Merge(usage, TrueTime())) {
      metrics_->Add("bergamot_gateway_duty_usage_ignored");
    }
  }

  void Expire(Millis now) {
    estimate_.Expire(now);
    ledger_.Expire(TrueTime());
    for (auto it = members_.begin(); it != members_.end();) {
      it = now - it->second > kMemberLifetime ? members_.erase(it)
                                              : std::next(it);
    }
  }

  // @return this gateway and those heard within the time.
  std::vector<uint64_t> MembersHeard(Millis time) const {
    std::vector<uint64_t> live = {options_.member_};
    for (const auto& [member, heard_at] : members_) {
      if (boot_.Now() - heard_at <= time) {
        live.push_back(member);
      }
    }
    return live;
  }

  // @return how many gateways should become candidates before this one. The
  // silent holder is still a live member for a moment, but is none of them.
  int Rank() const {
    int rank = 0;
    for (const uint64_t member : MembersHeard(kRankLifetime)) {
      if (member != last_holder_ &&
          RankKey(member) < RankKey(options_.member_)) {
        ++rank;
      }
    }
    return std::min(rank, kMaxRank);
  }

  bool IsCandidate(Millis now) const {
    const Millis silence = now - token_heard_at_;
    const Millis age = now - started_at_;
    if (age < duties::kMinHolderAge || silence <= kTokenSilence) {
      return false;
    }
    // After all older gateways.
    const int rank = has_known_holder_ && age < duties::kFullLedgerAge
                         ? Rank() + kMaxRank
                         : Rank();
    return silence > kTokenSilence + kSilencePerRank * rank;
  }

  // The lease of a new keeper differs from all earlier ones.
  void MakeKeeper() {
    lease::LeaseKeeperOptions options;
    options.holder_ = options_.holder_;
    options.boot_id_ = options_.boot_id_ + "/" + std::to_string(++num_keepers_);
    options.ttl_ = options_.settings_.lease_;
    // The records are dated by the boot clock, as only this process uses the
    // times in its records.
    keeper_ = std::make_unique<lease::LeaseKeeper>(
        std::move(options), boot_, boot_,
        [this](const lease::LeaseRecord& record) { append_ = record; });
    append_.reset();
    is_held_ = false;
  }

  // @return whether the lease is valid for at least this long, measured from
  // before its latest renewal was sent.
  bool IsHolder(Millis time) const {
    const auto fence = keeper_->fence();
    return is_held_ && fence.has_value() && *fence > fenced_token_ &&
           view_.lease_.has_value() &&
           boot_.Now() + time < view_.lease_->expires_;
  }

  void CheckExpiry() {
    if (is_held_ && !IsHolder(Millis(0))) {
      LoseLease("expired");
    }
  }

  void LoseLease(const char* reason) {
    log_->Write(LogLine("duty_lease_lost")
                    .Add("reason", reason)
                    .Add("token", held_token_.value()));
    metrics_->Add("bergamot_gateway_duty_leases", "lost");
    MakeKeeper();
    must_read_ = true;
    read_due_ = read_at_ + kCandidateReadInterval;
  }

  void UpdateStore(Millis now) {
    if (is_held_) {
      if (!must_read_) {
        RunKeeper();
        if (!is_busy_ && is_held_) {
          WriteDecisions(now);
        }
      } else if (now >= read_due_) {
        Read();
      }
      return;
    }
    const bool was_candidate = std::exchange(is_candidate_, IsCandidate(now));
    if (is_candidate_ && !was_candidate) {
      log_->Write(LogLine("duty_candidate")
                      .Add("silent_ms", (now - token_heard_at_).count())
                      .Add("rank", int64_t{Rank()}));
    }
    if (is_candidate_ && now >= read_due_) {
      Read();
    }
  }

  void Read() {
    is_busy_ = true;
    read_at_ = boot_.Now();
    read_due_ =
        read_at_ + (is_held_ ? kHolderReadInterval : kCandidateReadInterval);
    store_.read_(Guard(&Impl::OnRead));
  }

  void OnRead(Result<StoredDuties> result) {
    is_busy_ = false;
    if (!result.ok()) {
      OnStoreFailure("read", result.error());
      return;
    }
    OnStoreSuccess();
    CheckExpiry();
    const StoredDuties stored = std::move(result).value();
    EnterEra(stored);
    must_read_ = false;
    end_ = stored.end_;
    TakeState(stored);
    TakeLease(stored);
    RunKeeper();
  }

  // The tokens of another era of the store are not valid any more.
  void EnterEra(const StoredDuties& stored) {
    const bool is_new = era_.has_value() && *era_ != stored.era_;
    if (is_new) {
      log_->Write(LogLine("log_restored")
                      .Add("name", "duties")
                      .Add("era", stored.era_.value()));
      carried_.reset();
      if (is_held_) {
        // Nobody else has decided anything while the lease was valid.
        carried_ = CarriedState{stored.era_, stored.end_, stored_};
        carried_->state_.era_ = stored.era_;
        LoseLease("store restored");
      }
    }
    era_ = stored.era_;
  }

  void TakeState(const StoredDuties& stored) {
    if (carried_.has_value() && carried_->era_ == stored.era_ &&
        carried_->end_ == stored.end_) {
      stored_ = carried_->state_;
      is_state_carried_ = true;
      return;
    }
    carried_.reset();
    is_state_carried_ = false;
    // Without a document, a store of a later era may have lost it. But if no
    // gateway has held the lease since this one started, nothing that this one
    // knows of was decided.
    const bool is_first = !stored.usage_.has_value() && !has_known_holder_;
    duties::LoadedState loaded =
        duties::LoadState(stored.usage_, is_first ? LogEra(0) : stored.era_,
                          rules_, ledger_, TrueTime());
    loaded.state_.era_ = stored.era_;
    if (loaded.error_.has_value()) {
      log_->Write(LogLine("duty_state_unreadable")
                      .Add("key", kDutyUsageKey)
                      .Add("reason", loaded.error_->Message()));
    }
    stored_ = std::move(loaded.state_);
    for (const duties::MemberUsage& usage : stored_.undecided_) {
      MergeUsage(usage);
    }
  }

  void TakeLease(const StoredDuties& stored) {
    const Millis now = boot_.Now();
    const LeaseEntry entry{stored.era_, stored.lease_offset_, stored.lease_};
    if (!watched_.has_value() || !(*watched_ == entry)) {
      watched_ = entry;
      watched_since_ = now;
    }
    view_ = lease::LeaseView();
    if (!stored.lease_.has_value()) {
      view_.is_free_ = true;
      return;
    }
    const Millis wait = LeaseWait();
    view_.is_free_ = now >= watched_since_ + wait;
    const auto record = lease::DecodeRecord(*stored.lease_);
    if (!record.ok()) {
      // Its holder, if it has one, notices that its record was replaced.
      log_->Write(LogLine("duty_state_unreadable")
                      .Add("key", kDutyLeaseKey)
                      .Add("reason", record.error().Message()));
    } else {
      view_.lease_ =
          MakeLease(record.value(), stored.era_, stored.lease_offset_);
    }
    if (!is_held_ && trusts_own_lease_ && view_.lease_.has_value() &&
        IsOwn(view_.lease_->lease_)) {
      // This process doesn't use its lease any more, or never did, and nobody
      // has had another one since.
      view_.is_free_ = true;
    }
    const Millis left = watched_since_ + wait - now;
    if (left >= kCandidateReadInterval && left < kCandidateReadInterval * 2) {
      read_due_ = now + left;
    }
  }

  // @return whether this process has requested the lease.
  bool IsOwn(const lease::LeaseId& id) const {
    return id.value().rfind(options_.boot_id_ + "/", 0) == 0;
  }

  Millis LeaseWait() const {
    return Millis(static_cast<int64_t>(
        static_cast<double>(options_.settings_.lease_.count()) *
        kLeaseWaitFactor));
  }

  // @return the lease that the record grants or renews, if any.
  std::optional<lease::Lease> MakeLease(const lease::LeaseRecord& record,
                                        LogEra era,
                                        LogOffset offset) const {
    const Millis ttl = options_.settings_.lease_;
    if (const auto* request = std::get_if<lease::LeaseRequest>(&record)) {
      return lease::Lease{MakeToken(era, offset), request->lease_,
                          request->holder_, request->wall_ + ttl};
    }
    if (const auto* renewal = std::get_if<lease::LeaseRenewal>(&record)) {
      return lease::Lease{renewal->fence_, renewal->lease_, renewal->holder_,
                          renewal->wall_ + ttl};
    }
    return std::nullopt;
  }

  // Precondition: the log is known, and no call of the store is in progress.
  void RunKeeper() {
    append_.reset();
    keeper_->Update(view_);
    NoteLease();
    if (append_.has_value()) {
      Write(*append_, is_held_ ? std::optional(NextState()) : std::nullopt);
    }
  }

  // Notices that the keeper holds the lease, or no longer.
  void NoteLease() {
    const auto fence = keeper_->fence();
    if (is_held_) {
      const bool is_ours =
          view_.lease_.has_value() && view_.lease_->lease_ == held_lease_;
      if (!is_ours) {
        LoseLease("another gateway holds it");
      } else {
        CheckExpiry();
      }
      return;
    }
    if (!fence.has_value()) {
      return;
    }
    is_held_ = true;
    held_token_ = *fence;
    held_lease_ = view_.lease_->lease_;
    trusts_own_lease_ = true;
    has_known_holder_ = true;
    if (!IsHolder(Millis(0))) {
      LoseLease("expired before it was granted");
      return;
    }
    is_candidate_ = false;
    log_->Write(LogLine("duty_lease_acquired")
                    .Add("token", fence->value())
                    .Add("unconfirmed",
                         static_cast<int64_t>(
                             duties::UnconfirmedReports(stored_).size())));
    metrics_->Add("bergamot_gateway_duty_leases", "acquired");
  }

  DutyState NextState() {
    DutyState next = stored_;
    if (options_.settings_.reports_usage_) {
      next = duties::Advance(stored_, rules_, ledger_,
                             MembersHeard(kMemberLifetime), TrueTime());
      reporter_->ConfirmAccepted(&next);
    }
    next.era_ = *era_;
    return next;
  }

  // Decisions are written soon, all else with the next renewal.
  void WriteDecisions(Millis now) {
    if (now - decided_at_ < kDecideInterval) {
      return;
    }
    decided_at_ = now;
    DutyState known = stored_;
    reporter_->ConfirmAccepted(&known);
    DutyState next = NextState();
    if (is_state_carried_ || duties::HasNewDecision(known, next)) {
      Write(std::nullopt, std::move(next));
    }
  }

  void Write(std::optional<lease::LeaseRecord> lease_record,
             std::optional<DutyState> state) {
    std::vector<std::pair<std::string, std::string>> records;
    if (lease_record.has_value()) {
      records.emplace_back(kDutyLeaseKey, lease::EncodeRecord(*lease_record));
    }
    if (state.has_value() && (is_state_carried_ || *state != stored_)) {
      records.emplace_back(kDutyUsageKey, duties::EncodeState(*state));
    } else {
      state.reset();
    }
    writing_lease_ = std::move(lease_record);
    writing_state_ = std::move(state);
    writing_count_ = static_cast<int64_t>(records.size());
    is_busy_ = true;
    store_.write_(std::move(records), end_, Guard(&Impl::OnWritten));
  }

  void OnWritten(Result<std::optional<LogOffset>> result) {
    is_busy_ = false;
    const Millis now = boot_.Now();
    if (!result.ok()) {
      // It may be carried out later, which the next write must not precede
      // unnoticed.
      OnStoreFailure("write", result.error());
      must_read_ = true;
      read_due_ =
          now + (is_held_ ? kHolderReadInterval : kCandidateReadInterval);
      return;
    }
    OnStoreSuccess();
    if (!result.value().has_value()) {
      must_read_ = true;
      read_due_ = is_held_ ? now : now + kCandidateReadInterval;
      return;
    }
    const LogOffset offset = *result.value();
    end_ = LogOffset(offset.value() + writing_count_);
    if (writing_state_.has_value()) {
      OnStateStored(std::move(*writing_state_));
    }
    if (writing_lease_.has_value()) {
      view_.lease_ = MakeLease(*writing_lease_, *era_, offset);
      view_.is_free_ = false;
    }
    RunKeeper();
  }

  void OnStateStored(DutyState state) {
    reporter_->OnStored(stored_, state);
    stored_ = std::move(state);
    carried_.reset();
    is_state_carried_ = false;
  }

  void SendReport() {
    const Millis reserve =
        std::min(kMaxCallTime, options_.settings_.lease_ / 3);
    if (options_.settings_.reports_usage_ && IsHolder(reserve)) {
      reporter_->Send(stored_, token());
    }
  }

  // Another gateway has acted with a higher token, so its lease must be waited
  // for, even if the store does not show it.
  void OnFenced(lease::Fence fence) {
    fenced_token_ = std::max(fenced_token_, fence);
    trusts_own_lease_ = false;
    if (is_held_ && held_token_ <= fenced_token_) {
      LoseLease("fenced");
    }
    watched_.reset();
    read_due_ = boot_.Now() + kCandidateReadInterval;
  }

  void OnStoreFailure(const char* call, const Error& error) {
    metrics_->Add("bergamot_gateway_duty_store_failures", call);
    if (!std::exchange(is_store_lost_, true)) {
      log_->Write(LogLine("dependency_lost")
                      .Add("name", "duty log")
                      .Add("call", call)
                      .Add("reason", error.Message()));
    }
  }

  void OnStoreSuccess() {
    if (std::exchange(is_store_lost_, false)) {
      log_->Write(LogLine("dependency_regained").Add("name", "duty log"));
    }
  }

  const DutyOptions options_;
  const duties::UsageRules rules_;
  const Clock boot_;
  const Clock wall_;
  const DutyStore store_;
  const DutyCalls calls_;
  metrics::Metrics* const metrics_;
  DecisionLog* const log_;
  duties::UsageLedger ledger_;
  duties::WallClockEstimate estimate_;
  const Millis started_at_;
  Millis expired_at_;

  // Peers, by when they were heard last.
  std::map<uint64_t, Millis> members_;
  Millis token_heard_at_;  // the start, until one is heard
  std::optional<uint64_t> last_holder_;
  bool has_known_holder_ = false;  // of the lease, since the start
  Millis usage_sent_at_;
  WindowId closed_sent_ = 0;

  // The lease.
  std::unique_ptr<lease::LeaseKeeper> keeper_;
  int num_keepers_ = 0;
  std::optional<lease::LeaseRecord> append_;  // what the keeper wants written
  lease::LeaseView view_;
  bool is_held_ = false;
  bool is_candidate_ = false;
  lease::Fence held_token_;
  lease::Fence fenced_token_;  // the highest that was refused
  lease::LeaseId held_lease_;
  // Whether an own lease in the log is free once it isn't used any more.
  bool trusts_own_lease_ = true;
  std::optional<LeaseEntry> watched_;
  Millis watched_since_;

  // The log, and what it holds for certain.
  bool is_busy_ = false;  // a read or a write is in progress
  bool must_read_ = true;
  Millis read_at_;  // the latest read
  Millis read_due_;
  LogOffset end_;
  std::optional<LogEra> era_;
  DutyState stored_;
  std::optional<CarriedState> carried_;
  bool is_state_carried_ = false;  // stored_ is to be written again
  Millis decided_at_;
  std::optional<lease::LeaseRecord> writing_lease_;
  std::optional<DutyState> writing_state_;
  int64_t writing_count_ = 0;
  bool is_store_lost_ = false;

  std::shared_ptr<UsageReporter> reporter_;
  bool limit_logged_ = false;
  bool stopped_ = false;
};

DutyController::DutyController(DutyOptions options,
                               Clock boot,
                               Clock wall,
                               DutyStore store,
                               DutyCalls calls,
                               metrics::Metrics* metrics,
                               DecisionLog* log)
    : impl_(std::make_shared<Impl>(std::move(options),
                                   std::move(boot),
                                   std::move(wall),
                                   std::move(store),
                                   std::move(calls),
                                   metrics,
                                   log)) {}

DutyController::~DutyController() {
  impl_->Stop();
}

void DutyController::Update() {
  impl_->Update();
}

void DutyController::CountRequest(const WorkspaceId& workspace) {
  impl_->CountRequest(workspace);
}

DutyMessage DutyController::TakeMessage() {
  return impl_->TakeMessage();
}

void DutyController::OnMessage(uint64_t member, const DutyMessage& message) {
  impl_->OnMessage(member, message);
}

lease::Fence DutyController::token() const {
  return impl_->token();
}

}  // namespace bergamotscale::gateway
