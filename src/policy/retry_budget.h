// Limits retries to a share of requests.
#ifndef BERGAMOTSCALE_SRC_POLICY_RETRY_BUDGET_H_
#define BERGAMOTSCALE_SRC_POLICY_RETRY_BUDGET_H_

namespace bergamotscale::policy {

// Each first attempt earns a fraction of a retry; a retry spends a whole one.
// The reserve allows some retries at low traffic and limits how many can be
// saved up. Thread safety: none.
class RetryBudget {
 public:
  // @param requests_per_retry first attempts that earn one retry.
  // @param reserve retries available at the start, and the maximum saved up.
  explicit RetryBudget(int requests_per_retry = 10, int reserve = 128);

  // Records a first attempt.
  void OnRequest();

  // Spends one retry.
  // @return false if the budget is used up.
  bool TryRetry();

 private:
  int requests_per_retry_;
  int credit_limit_;
  int credit_;  // in units of 1 / requests_per_retry_ of a retry
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_RETRY_BUDGET_H_
