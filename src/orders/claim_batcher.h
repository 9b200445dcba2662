// Batches the records of many orders into few appends to the log.
#ifndef BERGAMOTSCALE_SRC_ORDERS_CLAIM_BATCHER_H_
#define BERGAMOTSCALE_SRC_ORDERS_CLAIM_BATCHER_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bergamotscale/clock.h"
#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "src/orders/records.h"

namespace bergamotscale::orders {

// Appends a payload to the orders stream. The hook is called once with the
// offset, with kLogUnavailable if the payload was not appended, or with
// kLogOutcomeUnknown if it may have been or may still be appended.
using AppendHook = std::function<void(Result<LogOffset>)>;
using AppendFunction = std::function<void(std::string payload, AppendHook)>;

struct BatcherOptions {
  // Mean time between two appends of this process under load: its share of the
  // log's append rate for the whole system.
  Millis interval_ = Millis(80);
  // Appends that an idle process may make without waiting.
  int burst_ = 5;
  // How long outcomes and releases wait for a claim to be batched with.
  Millis outcome_delay_ = Millis(30);
  // Wait before the records of a failed append are retried.
  Millis retry_delay_ = Millis(250);
  // Consecutive failed appends after which claims are not retried.
  int max_claim_attempts_ = 3;
  size_t max_records_ = 256;
  Bytes max_bytes_ = Bytes(262'144);
  // Upper bound of waiting records while the log is down. Beyond it, the oldest
  // outcomes and releases are dropped, which leaves their orders as
  // may-have-run.
  size_t max_waiting_ = 10000;
};

// Appends order records in rate-limited batches. One append is in flight at a
// time; records added meanwhile go with the next. Outcomes, releases and
// snapshots are retried until an append succeeds, since the fold ignores
// duplicates. A claim is retried only after an append that certainly failed.
// Thread safety: use from one thread, on which the append's hook is called.
class ClaimBatcher {
 public:
  // Called with the claims of an append that certainly failed and is not
  // retried.
  using FailedHook = std::function<void(const std::vector<ClaimId>&)>;

  ClaimBatcher(BatcherOptions options,
               Clock steady,
               AppendFunction append,
               FailedHook on_failed);
  ~ClaimBatcher();
  ClaimBatcher(const ClaimBatcher&) = delete;
  ClaimBatcher& operator=(const ClaimBatcher&) = delete;

  void Add(OrderRecord record);
  void AddSnapshot(std::vector<SnapshotPart> parts);
  // Removes a claim that has not been sent to the log.
  // @return false if it reached the log, or may have.
  bool Withdraw(const ClaimId& claim);
  // Starts an append if one is due. Call every few milliseconds.
  void Tick();

  // @return the number of records not known to be in the log.
  size_t waiting() const;
  // @return the number of records dropped beyond max_waiting_.
  int64_t dropped() const;
  int64_t appends() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::orders

#endif  // BERGAMOTSCALE_SRC_ORDERS_CLAIM_BATCHER_H_
