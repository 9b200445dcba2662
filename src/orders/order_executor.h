// At-most-once execution of orders at one sidecar, by claims and outcomes
// recorded in the log.
#ifndef BERGAMOTSCALE_SRC_ORDERS_ORDER_EXECUTOR_H_
#define BERGAMOTSCALE_SRC_ORDERS_ORDER_EXECUTOR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "bergamotscale/clock.h"
#include "bergamotscale/result.h"
#include "bergamotscale/verdict.h"
#include "src/orders/claim_batcher.h"
#include "src/orders/order_fold.h"

namespace bergamotscale::orders {

struct ExecutorOptions {
  InstanceId sidecar_;
  // Unique for each start of a process; the prefix of its claim ids.
  std::string boot_id_;
  FoldOptions fold_;
  BatcherOptions batcher_;
  // A claim that has not been read back from the log within this time is
  // cancelled.
  Millis claim_timeout_ = Millis(2000);
  // How long a retry waits for the outcome of the owner's attempt.
  Millis outcome_wait_ = Millis(5000);
  // Larger responses are not stored for retries.
  Bytes max_outcome_ = Bytes(65'536);
  // Time between snapshots of the keys without a timestamp; must be below the
  // log's retention.
  Millis snapshot_interval_ = Millis(900'000);
};

// The result of an attempt. Exactly one of the hooks is called, once.
struct OrderHooks {
  // The claim won: execute now, then call Complete() or, if nothing was sent,
  // Release().
  std::function<void(const ClaimId&)> execute_;
  // The order was executed before; this is its recorded outcome.
  std::function<void(const Outcome&)> replay_;
  std::function<void(const Error&, Verdict)> refuse_;
};

// Identifies an attempt until one of its hooks is called.
using AttemptHandle = uint64_t;

// Executes each order at most once across all sidecars. An order is executed
// only after this process has appended a claim and read it back from the log as
// the winner, unless it was cancelled meanwhile. A cancelled claim that wins is
// released.
// Thread safety: use from one thread, on which the hooks are called. Hooks may
// be called before Begin() returns.
class OrderExecutor {
 public:
  OrderExecutor(ExecutorOptions options,
                Clock steady,
                Clock wall,
                AppendFunction append);
  ~OrderExecutor();
  OrderExecutor(const OrderExecutor&) = delete;
  OrderExecutor& operator=(const OrderExecutor&) = delete;

  // Starts an attempt.
  // @param digest of the request that would be executed.
  AttemptHandle Begin(const OrderKey& key, uint64_t digest, OrderHooks hooks);
  // Cancels an attempt: no hook is called and nothing is executed for it.
  void CancelAttempt(AttemptHandle attempt);

  // Records how an execution ended.
  void Complete(const ClaimId& claim, Outcome outcome);
  // Records that the order was not executed and never will be under this claim.
  void Release(const ClaimId& claim);

  // Pass the oldest offset, then the records of the orders stream in order.
  void StartAt(LogOffset oldest);
  void OnRecord(const log::Record& record);

  // Call every few milliseconds.
  void Tick();

  // @return whether no attempt is pending or running and no record waits.
  bool idle() const;
  const OrderFold& fold() const;
  const ClaimBatcher& batcher() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::orders

#endif  // BERGAMOTSCALE_SRC_ORDERS_ORDER_EXECUTOR_H_
