#include "src/orders/order_executor.h"

#include <map>
#include <utility>
#include <vector>

namespace bergamotscale::orders {
namespace {

constexpr size_t kSnapshotPartKeys = 4096;

}  // namespace

class OrderExecutor::Impl {
 public:
  Impl(ExecutorOptions options, Clock steady, Clock wall, AppendFunction append)
      : options_(std::move(options)),
        steady_(std::move(steady)),
        wall_(std::move(wall)),
        fold_(options_.fold_),
        batcher_(options_.batcher_,
                 steady_,
                 std::move(append),
                 [this](const std::vector<ClaimId>& claims) {
                   OnClaimsFailed(claims);
                 }),
        last_snapshot_(steady_.Now()) {}

  AttemptHandle Begin(const OrderKey& key, uint64_t digest, OrderHooks hooks) {
    const AttemptHandle handle = ++last_handle_;
    Attempt attempt;
    attempt.key_ = key;
    attempt.digest_ = digest;
    attempt.hooks_ = std::move(hooks);
    attempt.deadline_ = steady_.Now() + options_.outcome_wait_;
    attempts_.emplace(handle, std::move(attempt));
    Advance(handle);
    return handle;
  }

  void CancelAttempt(AttemptHandle handle) { RemoveAttempt(handle); }

  void Complete(const ClaimId& claim, Outcome outcome) {
    const size_t size = outcome.body_.size() + outcome.text_.size();
    if (Bytes(static_cast<int64_t>(size)) > options_.max_outcome_) {
      outcome.body_stored_ = false;
      outcome.body_.clear();
      outcome.text_.clear();
    }
    RecordEnd(claim, RecordKind::kOutcome, std::move(outcome));
  }

  void Release(const ClaimId& claim) {
    RecordEnd(claim, RecordKind::kRelease, Outcome());
  }

  void StartAt(LogOffset oldest) { fold_.StartAt(oldest); }

  void OnRecord(const log::Record& record) {
    const LogOffset snapshot_before = fold_.snapshot_through();
    for (const FoldEvent& event : fold_.Apply(record)) {
      if (event.kind_ == RecordKind::kClaim) {
        OnClaim(event);
      } else {
        AdvanceWaiting(event.key_);
      }
    }
    if (fold_.snapshot_through() != snapshot_before) {
      last_snapshot_ = steady_.Now();
    }
  }

  void Tick() {
    batcher_.Tick();
    const Millis now = steady_.Now();
    std::vector<AttemptHandle> late;
    for (const auto& [handle, attempt] : attempts_) {
      if (attempt.deadline_ <= now) {
        late.push_back(handle);
      }
    }
    for (const AttemptHandle handle : late) {
      TimeOut(handle);
    }
    WriteSnapshotIfDue(now);
  }

  bool idle() const {
    return attempts_.empty() && running_.empty() && batcher_.waiting() == 0;
  }
  const OrderFold& fold() const { return fold_; }
  const ClaimBatcher& batcher() const { return batcher_; }

 private:
  struct Attempt {
    OrderKey key_;
    uint64_t digest_ = 0;
    OrderHooks hooks_;
    // Empty while waiting for the outcome of another claim.
    ClaimId claim_;
    Millis deadline_;
  };

  // Proceeds according to the order's state in the fold.
  void Advance(AttemptHandle handle) {
    Attempt& attempt = attempts_.at(handle);
    const OrderState* state = fold_.Find(attempt.key_);
    if (state == nullptr || state->phase_ == OrderPhase::kReleased) {
      Claim(handle);
      return;
    }
    if (state->digest_ != attempt.digest_) {
      Refuse(handle, ErrorCode::kKeyReusedForOtherBody, Verdict::kNotExecuted);
      return;
    }
    if (state->phase_ == OrderPhase::kDone) {
      Replay(handle, state->outcome_);
    }
  }

  void Claim(AttemptHandle handle) {
    Attempt& attempt = attempts_.at(handle);
    const ErrorCode key_status = fold_.CheckKey(attempt.key_, wall_.Now());
    if (key_status != ErrorCode::kOk) {
      Refuse(handle, key_status, Verdict::kMayHaveExecuted);
      return;
    }
    attempt.claim_ =
        ClaimId(options_.boot_id_ + "/" + std::to_string(++last_claim_number_));
    attempt.deadline_ = steady_.Now() + options_.claim_timeout_;
    claims_[attempt.claim_] = handle;
    batcher_.Add(MakeRecord(RecordKind::kClaim, attempt.key_, attempt.claim_,
                            attempt.digest_));
  }

  void OnClaim(const FoldEvent& event) {
    const auto found = claims_.find(event.claim_);
    if (found == claims_.end()) {
      ReleaseIfCancelled(event);
      return;
    }
    const AttemptHandle handle = found->second;
    claims_.erase(found);
    switch (event.result_) {
      case ClaimResult::kWon:
        OnClaimWon(handle, event);
        return;
      case ClaimResult::kLost:
        WaitForOutcome(handle);
        return;
      case ClaimResult::kDigestMismatch:
        Refuse(handle, ErrorCode::kKeyReusedForOtherBody,
               Verdict::kNotExecuted);
        return;
      case ClaimResult::kExpired:
        batcher_.Add(
            MakeRecord(RecordKind::kRelease, event.key_, event.claim_, 0));
        Refuse(handle, ErrorCode::kKeyExpired, Verdict::kMayHaveExecuted);
        return;
    }
  }

  // Releases a winning claim of this process whose attempt was cancelled, since
  // it will never be executed.
  void ReleaseIfCancelled(const FoldEvent& event) {
    const std::string prefix = options_.boot_id_ + "/";
    const bool ours =
        event.claim_.value().compare(0, prefix.size(), prefix) == 0;
    if (ours && event.result_ == ClaimResult::kWon) {
      batcher_.Add(
          MakeRecord(RecordKind::kRelease, event.key_, event.claim_, 0));
    }
  }

  void OnClaimWon(AttemptHandle handle, const FoldEvent& event) {
    const bool late = attempts_.at(handle).deadline_ <= steady_.Now();
    if (late) {
      batcher_.Add(
          MakeRecord(RecordKind::kRelease, event.key_, event.claim_, 0));
      Refuse(handle, ErrorCode::kLogUnavailable, Verdict::kNotExecuted);
      return;
    }
    running_[event.claim_] = event.key_;
    const Attempt attempt = RemoveAttempt(handle);
    attempt.hooks_.execute_(event.claim_);
  }

  void WaitForOutcome(AttemptHandle handle) {
    Attempt& attempt = attempts_.at(handle);
    attempt.claim_ = ClaimId();
    attempt.deadline_ = steady_.Now() + options_.outcome_wait_;
    Advance(handle);
  }

  void AdvanceWaiting(const OrderKey& key) {
    std::vector<AttemptHandle> waiting;
    for (const auto& [handle, attempt] : attempts_) {
      if (attempt.claim_.empty() && attempt.key_ == key) {
        waiting.push_back(handle);
      }
    }
    for (const AttemptHandle handle : waiting) {
      if (attempts_.count(handle) > 0) {
        Advance(handle);
      }
    }
  }

  void TimeOut(AttemptHandle handle) {
    const auto found = attempts_.find(handle);
    if (found == attempts_.end()) {
      return;
    }
    if (found->second.claim_.empty()) {
      Refuse(handle, ErrorCode::kClaimedElsewhere, Verdict::kMayHaveExecuted);
      return;
    }
    Refuse(handle, ErrorCode::kLogUnavailable, Verdict::kNotExecuted);
  }

  void OnClaimsFailed(const std::vector<ClaimId>& claims) {
    for (const ClaimId& claim : claims) {
      const auto found = claims_.find(claim);
      if (found != claims_.end()) {
        Refuse(found->second, ErrorCode::kLogUnavailable,
               Verdict::kNotExecuted);
      }
    }
  }

  void Replay(AttemptHandle handle, const Outcome& outcome) {
    if (outcome.code_ != ErrorCode::kOk) {
      Refuse(handle, Error(outcome.code_, "the only attempt failed"),
             Verdict::kMayHaveExecuted);
      return;
    }
    if (!outcome.body_stored_) {
      Refuse(handle,
             Error(ErrorCode::kClaimedElsewhere,
                   "executed; the answer was too large to keep"),
             Verdict::kMayHaveExecuted);
      return;
    }
    const Outcome copy = outcome;
    const Attempt attempt = RemoveAttempt(handle);
    attempt.hooks_.replay_(copy);
  }

  void Refuse(AttemptHandle handle, const Error& error, Verdict verdict) {
    const Attempt attempt = RemoveAttempt(handle);
    if (attempt.hooks_.refuse_) {
      attempt.hooks_.refuse_(error, verdict);
    }
  }

  // Removes an attempt and its claim, which is then never executed.
  Attempt RemoveAttempt(AttemptHandle handle) {
    const auto found = attempts_.find(handle);
    if (found == attempts_.end()) {
      return Attempt();
    }
    Attempt attempt = std::move(found->second);
    attempts_.erase(found);
    if (!attempt.claim_.empty() && claims_.erase(attempt.claim_) > 0) {
      batcher_.Withdraw(attempt.claim_);
    }
    return attempt;
  }

  void RecordEnd(const ClaimId& claim, RecordKind kind, Outcome outcome) {
    const auto found = running_.find(claim);
    if (found == running_.end()) {
      return;
    }
    OrderRecord record = MakeRecord(kind, found->second, claim, 0);
    record.outcome_ = std::move(outcome);
    running_.erase(found);
    batcher_.Add(std::move(record));
  }

  OrderRecord MakeRecord(RecordKind kind,
                         const OrderKey& key,
                         const ClaimId& claim,
                         uint64_t digest) const {
    OrderRecord record;
    record.kind_ = kind;
    record.key_ = key;
    record.claim_ = claim;
    record.sidecar_ = options_.sidecar_;
    record.digest_ = digest;
    record.wall_ = wall_.Now();
    return record;
  }

  void WriteSnapshotIfDue(Millis now) {
    if (now < last_snapshot_ + options_.snapshot_interval_) {
      return;
    }
    last_snapshot_ = now;
    const std::string id =
        options_.boot_id_ + "/" + std::to_string(++last_snapshot_id_);
    batcher_.AddSnapshot(fold_.Snapshot(id, kSnapshotPartKeys));
  }

  ExecutorOptions options_;
  Clock steady_;
  Clock wall_;
  OrderFold fold_;
  ClaimBatcher batcher_;
  std::map<AttemptHandle, Attempt> attempts_;
  std::map<ClaimId, AttemptHandle> claims_;
  std::map<ClaimId, OrderKey> running_;
  AttemptHandle last_handle_ = 0;
  int64_t last_claim_number_ = 0;
  int64_t last_snapshot_id_ = 0;
  Millis last_snapshot_;
};

OrderExecutor::OrderExecutor(ExecutorOptions options,
                             Clock steady,
                             Clock wall,
                             AppendFunction append)
    : impl_(std::make_unique<Impl>(std::move(options),
                                   std::move(steady),
                                   std::move(wall),
                                   std::move(append))) {}

OrderExecutor::~OrderExecutor() = default;

AttemptHandle OrderExecutor::Begin(const OrderKey& key,
                                   uint64_t digest,
                                   OrderHooks hooks) {
  return impl_->Begin(key, digest, std::move(hooks));
}

void OrderExecutor::CancelAttempt(AttemptHandle attempt) {
  impl_->CancelAttempt(attempt);
}

void OrderExecutor::Complete(const ClaimId& claim, Outcome outcome) {
  impl_->Complete(claim, std::move(outcome));
}

void OrderExecutor::Release(const ClaimId& claim) {
  impl_->Release(claim);
}

void OrderExecutor::StartAt(LogOffset oldest) {
  impl_->StartAt(oldest);
}

void OrderExecutor::OnRecord(const log::Record& record) {
  impl_->OnRecord(record);
}

void OrderExecutor::Tick() {
  impl_->Tick();
}

bool OrderExecutor::idle() const {
  return impl_->idle();
}

const OrderFold& OrderExecutor::fold() const {
  return impl_->fold();
}

const ClaimBatcher& OrderExecutor::batcher() const {
  return impl_->batcher();
}

}  // namespace bergamotscale::orders
