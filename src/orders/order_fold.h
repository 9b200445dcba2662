// The fold of the orders stream: who owns the only attempt at each order.
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

enum class Phase {
  kClaimed,   // the owner may be executing, or has died
  kDone,      // the outcome is known
  kReleased,  // the attempt did not run; the next claim owns
};

struct OrderState {
  Phase phase_ = Phase::kClaimed;
  ClaimId owner_;
  InstanceId sidecar_;
  uint64_t digest_ = 0;
  Outcome outcome_;
  // Claims that were released; a late copy of one never owns again.
  std::vector<ClaimId> released_;
};

// What a claim in the log came to.
enum class ClaimFate {
  kOwns,
  kLost,       // another claim came first
  kOtherBody,  // the key belongs to another body
  kExpired,    // the key is older than the horizon
};

// What one record changed.
struct FoldEvent {
  RecordKind kind_ = RecordKind::kClaim;
  OrderKey key_;
  ClaimId claim_;
  ClaimFate fate_ = ClaimFate::kLost;  // for kClaim
};

struct FoldOptions {
  // An order is remembered in full for this long. Below the log's retention
  // by more than the clocks differ.
  Millis horizon_ = Millis(3'600'000);
  // A key dated further ahead than this is refused.
  Millis max_clock_difference_ = Millis(60'000);
  // Keys without a date that are remembered, as hashes, past the horizon.
  size_t max_remembered_keys_ = 200000;
};

// Pure: the same records give the same state in every process. Its time is
// the newest wall time in the records.
// Thread safety: use from one thread.
class OrderFold {
 public:
  explicit OrderFold(FoldOptions options);

  // Tells where the log begins; call before the first record, and again if
  // records were lost to retention. What was learnt before stays.
  void StartAt(LogOffset oldest);

  // Applies one append. A payload that is no batch changes nothing.
  std::vector<FoldEvent> Apply(const log::Record& record);

  // @return the state of an order within the horizon, or null. Lifetime: until
  // the next Apply().
  const OrderState* Find(const OrderKey& key) const;

  // @return kOk if a claim of this key can own; kKeyExpired if the order may
  // have run longer ago than this fold remembers.
  // @param now the wall time.
  ErrorCode Admissible(const OrderKey& key, Millis now) const;

  // @return a snapshot of the keys without a date, in parts of at most
  // part_size hashes; empty if this fold does not know all of them.
  std::vector<SnapshotPart> Snapshot(const std::string& id,
                                     size_t part_size) const;
  // @return the offset through which the newest whole snapshot reaches.
  LogOffset snapshot_through() const { return snapshot_through_; }
  LogOffset next() const { return next_; }
  size_t size() const { return orders_.size(); }

 private:
  struct Expiry {
    Millis wall_;
    OrderKey key_;
  };
  struct PartialSnapshot {
    std::set<int> parts_;
    std::vector<uint64_t> key_hashes_;
  };

  FoldEvent ApplyRecord(const OrderRecord& record);
  ClaimFate ApplyClaim(const OrderRecord& record);
  void ApplySnapshotPart(const SnapshotPart& part);
  void Forget();
  bool KnowsUndatedKeys() const;

  FoldOptions options_;
  Millis now_;
  LogOffset first_;
  LogOffset next_;
  LogOffset snapshot_through_;
  std::map<OrderKey, OrderState> orders_;
  std::deque<Expiry> expiries_;
  std::unordered_set<uint64_t> remembered_;
  std::map<std::string, PartialSnapshot> partial_;
};

}  // namespace bergamotscale::orders

#endif  // BERGAMOTSCALE_SRC_ORDERS_ORDER_FOLD_H_
