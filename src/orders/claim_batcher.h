// Puts the records of many orders into few appends.
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

// Appends a payload to the orders stream. The hook comes once; kLogUnavailable
// means not appended, kLogOutcomeUnknown that it may have been, now or later.
using AppendHook = std::function<void(Result<LogOffset>)>;
using AppendFunction = std::function<void(std::string payload, AppendHook)>;

struct BatcherOptions {
  // Mean time between two appends of this process under load: its share of
  // what the log takes from the whole system.
  Millis interval_ = Millis(80);
  // Appends that a process which was quiet may make at once.
  int burst_ = 5;
  // Outcomes and releases wait this long for a claim to go with.
  Millis outcome_delay_ = Millis(30);
  // Wait before records of a failed append are sent again.
  Millis retry_delay_ = Millis(250);
  // Failed appends in a row after which claims are not tried again.
  int claim_tries_ = 3;
  size_t max_records_ = 256;
  Bytes max_bytes_ = Bytes(262'144);
  // Outcomes and releases that wait while the log is down; more are dropped,
  // which leaves their orders as may-have-run.
  size_t max_waiting_ = 10000;
};

// One append is in flight at a time; what comes meanwhile goes with the next.
// Outcomes, releases and snapshots are
// appended again until one succeeds, which the fold takes as one; a claim only
// after an append that was surely not made.
// Thread safety: use from one thread, on which the append's hook is called.
class ClaimBatcher {
 public:
  // Called with the claims of an append that was surely not made.
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
  // Takes back a claim that has not been handed to the log.
  // @return false if it has, or may have, reached the log.
  bool Withdraw(const ClaimId& claim);
  // Appends what is due. Call every few milliseconds.
  void Tick();

  // @return records that are not known to be in the log.
  size_t waiting() const;
  // @return records dropped for want of room.
  int64_t dropped() const;
  int64_t appends() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::orders

#endif  // BERGAMOTSCALE_SRC_ORDERS_CLAIM_BATCHER_H_
