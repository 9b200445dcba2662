// The upper bound of a scenario's goodput while the top tier is served on time.
#ifndef BERGAMOTSCALE_SRC_LAB_ATTAINABLE_H_
#define BERGAMOTSCALE_SRC_LAB_ATTAINABLE_H_

#include <vector>

#include "src/lab/scenario.h"

namespace bergamotscale::lab {

// The demand for answers of one class, and the cost of their tokens.
struct ClassDemand {
  double tokens_per_second_ = 0;  // output
  // Engine time per output token, in addition to its share of the step's base
  // time: its decode, and its share of the prompt's prefill.
  double cost_micros_ = 0;
  // Mean KV memory of a running request, in tokens.
  double kv_tokens_ = 0;
};

// @param cached_share fraction of the shared prompts that is cached, from 0
// to 1.
// @return the demand of each class in the measured part of the run.
std::vector<ClassDemand> ComputeDemand(const Scenario& scenario,
                                       double cached_share);

// The bound, and the division of the engines that attains it.
struct GoodputBound {
  double tokens_per_second_ = 0;
  // Batch-limited engines, which keep the top tier's inter-token target; a
  // fraction stands for an engine that does so part of the time.
  double batch_limited_engines_ = 0;
};

// An upper bound for every policy, computed from the emulator's parameters and
// the mean demand. It assumes that 99 of 100 requests of the top tier are
// served, that each engine that runs them keeps their tightest inter-token
// target on average, that batches fit into slots and KV memory on average, and
// that all other capacity goes to the cheapest classes, up to their demand.
// Queueing, variance of step times and targets of lower tiers aren't counted.
// Thread safety: safe.
GoodputBound ComputeMaxGoodput(const Scenario& scenario, double cached_share);

// The same with all shared prompts cached, which bounds every policy.
GoodputBound ComputeMaxGoodput(const Scenario& scenario);

}  // namespace bergamotscale::lab

#endif  // BERGAMOTSCALE_SRC_LAB_ATTAINABLE_H_
