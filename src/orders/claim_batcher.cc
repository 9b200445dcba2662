#include "src/orders/claim_batcher.h"

#include <algorithm>
#include <utility>

namespace bergamotscale::orders {
namespace {

constexpr int64_t kRecordOverheadBytes = 128;

int64_t EstimateSize(const OrderRecord& record) {
  const Outcome& outcome = record.outcome_;
  return kRecordOverheadBytes +
         static_cast<int64_t>(outcome.body_.size() + outcome.text_.size());
}

}  // namespace

class ClaimBatcher::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(BatcherOptions options,
       Clock steady,
       AppendFunction append,
       FailedHook on_failed)
      : options_(options),
        steady_(std::move(steady)),
        append_(std::move(append)),
        on_failed_(std::move(on_failed)),
        // Starts with credit for a full burst.
        last_credit_(steady_.Now() - options_.interval_ * options_.burst_) {}

  void Add(OrderRecord record) {
    if (waiting_.empty()) {
      waiting_since_ = steady_.Now();
    }
    waiting_claims_ += record.kind_ == RecordKind::kClaim ? 1 : 0;
    waiting_.push_back(std::move(record));
    DropExcess();
    Tick();
  }

  void AddSnapshot(std::vector<SnapshotPart> parts) {
    std::move(parts.begin(), parts.end(), std::back_inserter(parts_));
  }

  bool Withdraw(const ClaimId& claim) {
    const auto found = std::find_if(
        waiting_.begin(), waiting_.end(), [&claim](const OrderRecord& record) {
          return record.kind_ == RecordKind::kClaim && record.claim_ == claim;
        });
    if (found == waiting_.end()) {
      return false;
    }
    waiting_.erase(found);
    --waiting_claims_;
    return true;
  }

  void Tick() {
    if (in_flight_ || !IsDue(steady_.Now())) {
      return;
    }
    auto batch = std::make_shared<OrderBatch>(TakeBatch());
    in_flight_ = true;
    in_flight_records_ = batch->records_.size();
    ++appends_;
    SpendCredit(steady_.Now());
    std::weak_ptr<Impl> weak = weak_from_this();
    append_(EncodeBatch(*batch), [weak, batch](Result<LogOffset> result) {
      if (auto self = weak.lock()) {
        self->OnAppended(*batch, result);
      }
    });
  }

  size_t waiting() const { return waiting_.size() + in_flight_records_; }
  int64_t dropped() const { return dropped_; }
  int64_t appends() const { return appends_; }

 private:
  bool IsDue(Millis now) const {
    if (now < not_before_ || now < last_credit_ + options_.interval_) {
      return false;
    }
    const bool waited =
        !waiting_.empty() && now >= waiting_since_ + options_.outcome_delay_;
    return waiting_claims_ > 0 || waited || !parts_.empty();
  }

  // One credit accrues per interval, up to the burst.
  void SpendCredit(Millis now) {
    const Millis oldest_kept = now - options_.interval_ * options_.burst_;
    last_credit_ = std::max(last_credit_, oldest_kept) + options_.interval_;
  }

  OrderBatch TakeBatch() {
    OrderBatch batch;
    int64_t bytes = 0;
    while (!waiting_.empty() && batch.records_.size() < options_.max_records_) {
      bytes += EstimateSize(waiting_.front());
      if (!batch.records_.empty() && Bytes(bytes) > options_.max_bytes_) {
        break;
      }
      const bool claim = waiting_.front().kind_ == RecordKind::kClaim;
      waiting_claims_ -= claim ? 1 : 0;
      batch.records_.push_back(std::move(waiting_.front()));
      waiting_.pop_front();
    }
    waiting_since_ = steady_.Now();
    if (!parts_.empty()) {
      batch.snapshot_parts_.push_back(std::move(parts_.front()));
      parts_.pop_front();
    }
    return batch;
  }

  void OnAppended(const OrderBatch& batch, const Result<LogOffset>& result) {
    in_flight_ = false;
    in_flight_records_ = 0;
    if (result.ok()) {
      failures_ = 0;
      Tick();
      return;
    }
    ++failures_;
    not_before_ = steady_.Now() + options_.retry_delay_;
    const bool not_appended =
        result.error().code_ == ErrorCode::kLogUnavailable;
    const bool retry_claims =
        not_appended && failures_ < options_.max_claim_attempts_;
    Requeue(batch, retry_claims);
    if (not_appended && !retry_claims) {
      on_failed_(CollectClaims(batch));
    }
  }

  static std::vector<ClaimId> CollectClaims(const OrderBatch& batch) {
    std::vector<ClaimId> claims;
    for (const OrderRecord& record : batch.records_) {
      if (record.kind_ == RecordKind::kClaim) {
        claims.push_back(record.claim_);
      }
    }
    return claims;
  }

  void Requeue(const OrderBatch& batch, bool with_claims) {
    for (auto record = batch.records_.rbegin(); record != batch.records_.rend();
         ++record) {
      const bool claim = record->kind_ == RecordKind::kClaim;
      if (with_claims || !claim) {
        waiting_.push_front(*record);
        waiting_claims_ += claim ? 1 : 0;
      }
    }
    for (const SnapshotPart& part : batch.snapshot_parts_) {
      parts_.push_front(part);
    }
    DropExcess();
  }

  void DropExcess() {
    while (waiting_.size() > options_.max_waiting_) {
      const auto oldest = std::find_if(
          waiting_.begin(), waiting_.end(), [](const OrderRecord& record) {
            return record.kind_ != RecordKind::kClaim;
          });
      if (oldest == waiting_.end()) {
        return;
      }
      waiting_.erase(oldest);
      ++dropped_;
    }
  }

  BatcherOptions options_;
  Clock steady_;
  AppendFunction append_;
  FailedHook on_failed_;
  std::deque<OrderRecord> waiting_;
  std::deque<SnapshotPart> parts_;
  bool in_flight_ = false;
  size_t in_flight_records_ = 0;
  int failures_ = 0;
  int waiting_claims_ = 0;
  Millis waiting_since_;
  Millis last_credit_;
  Millis not_before_;
  int64_t dropped_ = 0;
  int64_t appends_ = 0;
};

ClaimBatcher::ClaimBatcher(BatcherOptions options,
                           Clock steady,
                           AppendFunction append,
                           FailedHook on_failed)
    : impl_(std::make_shared<Impl>(options,
                                   std::move(steady),
                                   std::move(append),
                                   std::move(on_failed))) {}

ClaimBatcher::~ClaimBatcher() = default;

void ClaimBatcher::Add(OrderRecord record) {
  impl_->Add(std::move(record));
}

void ClaimBatcher::AddSnapshot(std::vector<SnapshotPart> parts) {
  impl_->AddSnapshot(std::move(parts));
}

bool ClaimBatcher::Withdraw(const ClaimId& claim) {
  return impl_->Withdraw(claim);
}

void ClaimBatcher::Tick() {
  impl_->Tick();
}

size_t ClaimBatcher::waiting() const {
  return impl_->waiting();
}

int64_t ClaimBatcher::dropped() const {
  return impl_->dropped();
}

int64_t ClaimBatcher::appends() const {
  return impl_->appends();
}

}  // namespace bergamotscale::orders
