// A retry budget that all entries share without asking one another.
#ifndef BERGAMOTSCALE_SRC_POLICY_SHARED_RETRY_BUDGET_H_
#define BERGAMOTSCALE_SRC_POLICY_SHARED_RETRY_BUDGET_H_

#include <deque>
#include <unordered_map>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// Bounds of one group of upstreams, over all entries, in any window.
struct RetryBounds {
  double ratio_ = 0.2;  // sends beyond the first, by requests
  double extra_ = 0;    // sends beyond the first, whatever the requests
  Millis window_ = Millis(10'000);
};

// Each entry spends the ratio of its own requests and an equal part of the
// extra. It keeps to what it has counted in the last window, so that the sum
// over the entries stays within the bounds in every window. This answers full
// or failing upstreams, which would otherwise get each request several times.
// Thread safety: none.
class SharedRetryBudget {
 public:
  explicit SharedRetryBudget(RetryBounds bounds);

  // @param members entries that share the budget, this one included.
  void SetMembers(int members);
  void SetBounds(RetryBounds bounds);

  void OnRequest(const GroupId& group, Millis now);
  // Spends one send beyond the first. @return false if none is left.
  bool TryRetry(const GroupId& group, Millis now);

 private:
  struct Window {
    std::deque<Millis> requests_;
    std::deque<Millis> retries_;
  };
  void Forget(Window* window, Millis now) const;

  RetryBounds bounds_;
  int members_ = 1;
  std::unordered_map<GroupId, Window> windows_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_SHARED_RETRY_BUDGET_H_
