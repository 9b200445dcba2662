#include "src/orders/order_fold.h"

#include <algorithm>

namespace bergamotscale::orders {

OrderFold::OrderFold(FoldOptions options) : options_(options) {}

void OrderFold::StartAt(LogOffset oldest) {
  if (oldest <= next_) {
    return;
  }
  log_start_ = oldest;
  next_ = oldest;
}

std::vector<FoldEvent> OrderFold::Apply(const log::Record& record) {
  std::vector<FoldEvent> events;
  if (record.offset_ < next_) {
    return events;
  }
  next_ = LogOffset(record.offset_.value() + 1);
  const Result<OrderBatch> batch = DecodeBatch(record.payload_);
  if (!batch.ok()) {
    return events;
  }
  for (const OrderRecord& item : batch.value().records_) {
    now_ = std::max(now_, item.wall_);
    RemoveExpired();
    events.push_back(ApplyRecord(item));
  }
  for (const SnapshotPart& part : batch.value().snapshot_parts_) {
    ApplySnapshotPart(part);
  }
  return events;
}

FoldEvent OrderFold::ApplyRecord(const OrderRecord& record) {
  FoldEvent event;
  event.kind_ = record.kind_;
  event.key_ = record.key_;
  event.claim_ = record.claim_;
  if (record.kind_ == RecordKind::kClaim) {
    event.result_ = ApplyClaim(record);
    return event;
  }
  const auto found = orders_.find(record.key_);
  // Only the first outcome or release of the claim that owns the order counts.
  if (found == orders_.end() || found->second.owner_ != record.claim_ ||
      found->second.phase_ != OrderPhase::kClaimed) {
    return event;
  }
  OrderState& state = found->second;
  if (record.kind_ == RecordKind::kOutcome) {
    state.phase_ = OrderPhase::kDone;
    state.outcome_ = record.outcome_;
  } else {
    state.phase_ = OrderPhase::kReleased;
    state.released_.push_back(record.claim_);
  }
  return event;
}

ClaimResult OrderFold::ApplyClaim(const OrderRecord& record) {
  const auto found = orders_.find(record.key_);
  if (found == orders_.end()) {
    const ErrorCode key_status = CheckKey(record.key_, record.wall_);
    const std::optional<Millis> timestamp = GetKeyTimestamp(record.key_.key_);
    if (key_status != ErrorCode::kOk && timestamp.has_value()) {
      return ClaimResult::kExpired;
    }
    OrderState state;
    state.owner_ = record.claim_;
    state.sidecar_ = record.sidecar_;
    state.digest_ = record.digest_;
    orders_.emplace(record.key_, state);
    expiries_.push_back(Expiry{now_, record.key_});
    // The claim is recorded even if the key history is incomplete, so that a
    // later claim loses here as in every other process.
    return key_status == ErrorCode::kOk ? ClaimResult::kWon
                                        : ClaimResult::kExpired;
  }
  OrderState& state = found->second;
  if (state.digest_ != record.digest_) {
    return ClaimResult::kDigestMismatch;
  }
  const bool already_released =
      std::find(state.released_.begin(), state.released_.end(),
                record.claim_) != state.released_.end();
  if (state.phase_ != OrderPhase::kReleased || already_released) {
    return ClaimResult::kLost;
  }
  state.phase_ = OrderPhase::kClaimed;
  state.owner_ = record.claim_;
  state.sidecar_ = record.sidecar_;
  return ClaimResult::kWon;
}

void OrderFold::RemoveExpired() {
  const Millis kept_for =
      options_.order_retention_ + options_.max_clock_difference_;
  while (!expiries_.empty() && expiries_.front().wall_ + kept_for < now_) {
    const OrderKey key = expiries_.front().key_;
    expiries_.pop_front();
    if (!GetKeyTimestamp(key.key_).has_value()) {
      expired_key_hashes_.insert(HashOrderKey(key));
    }
    orders_.erase(key);
  }
}

const OrderState* OrderFold::Find(const OrderKey& key) const {
  const auto found = orders_.find(key);
  return found == orders_.end() ? nullptr : &found->second;
}

ErrorCode OrderFold::CheckKey(const OrderKey& key, Millis now) const {
  const Millis newest = std::max(now, now_);
  const std::optional<Millis> timestamp = GetKeyTimestamp(key.key_);
  if (!timestamp.has_value()) {
    const bool fresh = HasCompleteKeyHistory() &&
                       expired_key_hashes_.count(HashOrderKey(key)) == 0;
    return fresh ? ErrorCode::kOk : ErrorCode::kKeyExpired;
  }
  const bool too_old = *timestamp + options_.order_retention_ < newest;
  const bool too_far_ahead = *timestamp > now + options_.max_clock_difference_;
  return too_old || too_far_ahead ? ErrorCode::kKeyExpired : ErrorCode::kOk;
}

bool OrderFold::HasCompleteKeyHistory() const {
  const bool reaches_back =
      log_start_ == LogOffset(0) || snapshot_through_ >= log_start_;
  return reaches_back &&
         expired_key_hashes_.size() < options_.max_remembered_keys_;
}

void OrderFold::ApplySnapshotPart(const SnapshotPart& part) {
  PartialSnapshot& partial = partial_snapshots_[part.snapshot_id_];
  if (partial.parts_.insert(part.part_).second) {
    partial.key_hashes_.insert(partial.key_hashes_.end(),
                               part.key_hashes_.begin(),
                               part.key_hashes_.end());
  }
  if (static_cast<int>(partial.parts_.size()) < part.parts_) {
    return;
  }
  expired_key_hashes_.insert(partial.key_hashes_.begin(),
                             partial.key_hashes_.end());
  snapshot_through_ = std::max(snapshot_through_, part.through_);
  // A complete snapshot replaces the parts of incomplete ones.
  partial_snapshots_.clear();
}

std::vector<SnapshotPart> OrderFold::Snapshot(const std::string& id,
                                              size_t part_size) const {
  std::vector<SnapshotPart> parts;
  if (!HasCompleteKeyHistory()) {
    return parts;
  }
  std::vector<uint64_t> hashes(expired_key_hashes_.begin(),
                               expired_key_hashes_.end());
  for (const auto& [key, state] : orders_) {
    if (!GetKeyTimestamp(key.key_).has_value()) {
      hashes.push_back(HashOrderKey(key));
    }
  }
  const size_t count =
      std::max<size_t>(1, (hashes.size() + part_size - 1) / part_size);
  for (size_t index = 0; index < count; ++index) {
    const auto from = hashes.begin() + static_cast<int64_t>(index * part_size);
    const size_t left = hashes.size() - index * part_size;
    SnapshotPart part;
    part.snapshot_id_ = id;
    part.through_ = next_;
    part.part_ = static_cast<int>(index);
    part.parts_ = static_cast<int>(count);
    part.key_hashes_.assign(
        from, from + static_cast<int64_t>(std::min(part_size, left)));
    parts.push_back(std::move(part));
  }
  return parts;
}

}  // namespace bergamotscale::orders
