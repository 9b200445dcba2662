// At-most-once execution of orders at one sidecar: claim, arbitration by log
// order, recorded outcomes.
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
  // Unique for each start of a process; prefixes its claims.
  std::string boot_id_;
  FoldOptions fold_;
  BatcherOptions batcher_;
  // A claim that has not been read back by then is given up.
  Millis claim_timeout_ = Millis(2000);
  // How long a resend waits for the outcome of the owner's attempt.
  Millis outcome_wait_ = Millis(5000);
  // Larger answers are not kept for resends.
  Bytes max_outcome_ = Bytes(65'536);
  // Time between snapshots of the keys without a date; below the log's
  // retention.
  Millis snapshot_interval_ = Millis(900'000);
};

// How an attempt goes on; one of them is called, once.
struct OrderHooks {
  // The claim owns the only attempt: execute now, then call Complete() or, if
  // nothing was sent, Release().
  std::function<void(const ClaimId&)> execute_;
  // The order was executed before; this is its answer.
  std::function<void(const Outcome&)> replay_;
  std::function<void(const Error&, Verdict)> refuse_;
};

// Names an attempt that has not gone on yet.
using AttemptHandle = uint64_t;

// No order is executed but on a claim that this process appended, has read
// back as the owner, and has not given up meanwhile. A claim that was given up
// and turns out to own is released.
// Thread safety: use from one thread, on which the hooks are called. Hooks may
// come before Begin() returns.
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
  // @param digest of what would be executed.
  AttemptHandle Begin(const OrderKey& key, uint64_t digest, OrderHooks hooks);
  // Gives an attempt up; no hook is called and nothing is executed any more.
  void Abandon(AttemptHandle attempt);

  // Records how an execution ended.
  void Complete(const ClaimId& claim, Outcome outcome);
  // Records that the execution did not happen and never will.
  void Release(const ClaimId& claim);

  // Feeds the orders stream, in order.
  void StartAt(LogOffset oldest);
  void OnRecord(const log::Record& record);

  // Call every few milliseconds.
  void Tick();

  // @return whether nothing runs or waits to be recorded.
  bool idle() const;
  const OrderFold& fold() const;
  const ClaimBatcher& batcher() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::orders

#endif  // BERGAMOTSCALE_SRC_ORDERS_ORDER_EXECUTOR_H_
