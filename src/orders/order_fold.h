// The state of all orders, computed from the records of the orders stream.
#ifndef BERGAMOTSCALE_SRC_ORDERS_ORDER_FOLD_H_
#define BERGAMOTSCALE_SRC_ORDERS_ORDER_FOLD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "src/log/log_client.h"
#include "src/orders/records.h"

namespace bergamotscale::orders {

enum class OrderPhase {
  kClaimed,   // the owner may be executing, or may have crashed
  kDone,      // the outcome is recorded
  kReleased,  // the owner did not execute it; the next claim wins
};

struct OrderState {
  OrderPhase phase_ = OrderPhase::kClaimed;
  ClaimId owner_;
  InstanceId sidecar_;
  uint64_t digest_ = 0;
  Outcome outcome_;
  // Released claims; a late duplicate of one never wins again.
  std::vector<ClaimId> released_;
};

// The result of a claim in the log.
enum class ClaimResult {
  kWon,
  kLost,            // another claim was first
  kDigestMismatch,  // the key belongs to another body
  kExpired,         // the key may be older than the retention
};

// The effect of one record.
struct FoldEvent {
  RecordKind kind_ = RecordKind::kClaim;
  OrderKey key_;
  ClaimId claim_;
  ClaimResult result_ = ClaimResult::kLost;  // for kClaim
};

struct FoldOptions {
  // How long an order's full state is kept. Must be shorter than the log's
  // retention by more than the clock difference.
  Millis order_retention_ = Millis(3'600'000);
  // A key with a timestamp further in the future than this is refused.
  Millis max_clock_difference_ = Millis(60'000);
  // Keys without a timestamp whose hashes are kept after the retention. At this
  // number, new keys without a timestamp are refused.
  size_t max_remembered_keys_ = 200000;
};

// Decides which claim may execute an order: the first one in the log wins.
// Deterministic: the same records give the same state in every process. Its
// time is the newest wall time in the records.
// Thread safety: use from one thread.
class OrderFold {
 public:
  explicit OrderFold(FoldOptions options);

  // Sets the oldest offset in the log. Call before the first record, and again
  // if the log's retention deleted unread records. Earlier state is kept.
  void StartAt(LogOffset oldest);

  // Applies one append. A payload that is not a batch changes nothing.
  std::vector<FoldEvent> Apply(const log::Record& record);

  // @return the state of an order within its retention, or null. Valid until
  // the next Apply().
  const OrderState* Find(const OrderKey& key) const;

  // @param now the wall time.
  // @return kOk if a claim of this key can win; kKeyExpired if the order may
  // have run before the retention, or the key's timestamp is too far in the
  // future.
  ErrorCode CheckKey(const OrderKey& key, Millis now) const;

  // @return a snapshot of the keys without a timestamp, in parts of at most
  // part_size hashes; empty if the key history is incomplete.
  std::vector<SnapshotPart> Snapshot(const std::string& id,
                                     size_t part_size) const;
  // @return the offset up to which the newest complete snapshot covers keys.
  LogOffset snapshot_through() const { return snapshot_through_; }
  LogOffset next() const { return next_; }
  size_t size() const { return orders_.size(); }

 private:
  // An order, and the fold's time at its first claim. The retention counts
  // from then on.
  struct Expiry {
    Millis wall_;
    OrderKey key_;
  };
  struct PartialSnapshot {
    std::set<int> parts_;
    std::vector<uint64_t> key_hashes_;
  };

  FoldEvent ApplyRecord(const OrderRecord& record);
  ClaimResult ApplyClaim(const OrderRecord& record);
  void ApplySnapshotPart(const SnapshotPart& part);
  void RemoveExpired();
  bool HasCompleteKeyHistory() const;

  FoldOptions options_;
  Millis now_;
  LogOffset log_start_;
  LogOffset next_;
  LogOffset snapshot_through_;
  std::map<OrderKey, OrderState> orders_;
  std::deque<Expiry> expiries_;
  std::unordered_set<uint64_t> expired_key_hashes_;
  std::map<std::string, PartialSnapshot> partial_snapshots_;
};

}  // namespace bergamotscale::orders

#endif  // BERGAMOTSCALE_SRC_ORDERS_ORDER_FOLD_H_
