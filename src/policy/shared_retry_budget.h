// A retry budget that entries share without communicating.
#ifndef BERGAMOTSCALE_SRC_POLICY_SHARED_RETRY_BUDGET_H_
#define BERGAMOTSCALE_SRC_POLICY_SHARED_RETRY_BUDGET_H_

#include <deque>
#include <unordered_map>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// Limits on the retries to one group of upstreams, over all entries and in any
// window.
struct RetryBounds {
  double ratio_ = 0.2;  // retries per request
  double extra_ = 0;    // retries allowed regardless of requests
  Millis window_ = Millis(10'000);
};

// Each entry may spend the ratio of its own requests in the last window plus an
// equal part of `extra_`, so that the sum over all entries stays within the
// limits in every window. Without a limit, an overloaded or failing upstream
// would get each request several times. Thread safety: none.
class SharedRetryBudget {
 public:
  explicit SharedRetryBudget(RetryBounds bounds);

  // @param members number of entries that share the budget, including this one.
  void SetMembers(int members);
  void SetBounds(RetryBounds bounds);

  void OnRequest(const GroupId& group, Millis now);
  // Spends one retry.
  // @return false if none is left.
  bool TryRetry(const GroupId& group, Millis now);

 private:
  struct Window {
    std::deque<Millis> requests_;
    std::deque<Millis> retries_;
  };
  void DropExpired(Window* window, Millis now) const;

  RetryBounds bounds_;
  int members_ = 1;
  std::unordered_map<GroupId, Window> windows_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_SHARED_RETRY_BUDGET_H_
