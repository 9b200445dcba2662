// Estimates the output length of answers.
#ifndef BERGAMOTSCALE_SRC_POLICY_OUTPUT_ESTIMATOR_H_
#define BERGAMOTSCALE_SRC_POLICY_OUTPUT_ESTIMATOR_H_

#include <memory>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// Online quantiles of output length by class, over about the last thousand
// answers of each. Memory is bounded by the number of classes. Thread safety:
// none.
class OutputEstimator {
 public:
  OutputEstimator();
  ~OutputEstimator();
  OutputEstimator(OutputEstimator&&) noexcept;
  OutputEstimator& operator=(OutputEstimator&&) noexcept;

  // Records the length of a complete answer.
  void Observe(const ClassId& class_id, Tokens output);

  // @return the expected length of an answer that hasn't started.
  Tokens Expected(const ClassId& class_id) const;

  // @return the expected number of further tokens after `written`, at least 1.
  Tokens Remaining(const ClassId& class_id, Tokens written) const;

  // @param percent 1 to 99.
  Tokens Quantile(const ClassId& class_id, int percent) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_OUTPUT_ESTIMATOR_H_
