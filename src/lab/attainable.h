// The most goodput that a scenario's engines can give while the top tier is
// served on time.
#ifndef BERGAMOTSCALE_SRC_LAB_ATTAINABLE_H_
#define BERGAMOTSCALE_SRC_LAB_ATTAINABLE_H_

#include <vector>

#include "src/lab/scenario.h"

namespace bergamotscale::lab {

// Demand for the answers of one class, and what a token of them costs.
struct ClassDemand {
  double tokens_per_second_ = 0;  // output
  // Engine time of one output token on top of its share of the step's base
  // time: its decoding, and its part of the prompt's prefill.
  double cost_micros_ = 0;
  // Mean KV memory of a request that runs, in tokens.
  double kv_tokens_ = 0;
};

// @param cached_share part of the shared prompts that is cached, from 0 to 1.
// @return the demand of each class in the measured part of the run.
std::vector<ClassDemand> DemandOf(const Scenario& scenario,
                                  double cached_share);

// The most output on time, and how the engines are divided to give it.
struct Attainable {
  double tokens_per_second_ = 0;
  // Engines that keep the top tier's time between tokens; fractions are engines
  // that do so for a part of the time.
  double kept_engines_ = 0;
};

// An upper bound for every policy, from the emulator's parameters and the mean
// demand. The classes of the top tier are served to 99 in 100, each engine that
// runs them keeps their tightest time between tokens in the mean, batches fit
// into slots and KV memory in the mean, and all other capacity goes to whatever
// class is cheapest, up to its demand. Queues, variance of step times, and
// targets of lower tiers aren't counted.
// Thread safety: safe.
Attainable MostGoodput(const Scenario& scenario, double cached_share);

// The same with all shared prompts cached, which no policy exceeds.
Attainable MostGoodput(const Scenario& scenario);

}  // namespace bergamotscale::lab

#endif  // BERGAMOTSCALE_SRC_LAB_ATTAINABLE_H_
