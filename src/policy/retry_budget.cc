#include "src/policy/retry_budget.h"

#include <algorithm>

namespace bergamotscale::policy {

RetryBudget::RetryBudget(int requests_per_retry, int reserve)
    : requests_per_retry_(std::max(requests_per_retry, 1)),
      credit_limit_(std::max(reserve, 1) * requests_per_retry_),
      credit_(credit_limit_) {}

void RetryBudget::OnRequest() {
  credit_ = std::min(credit_ + 1, credit_limit_);
}

bool RetryBudget::TryRetry() {
  if (credit_ < requests_per_retry_) {
    return false;
  }
  credit_ -= requests_per_retry_;
  return true;
}

}  // namespace bergamotscale::policy
