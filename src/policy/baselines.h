// Standard load balancing algorithms, for comparison with Dispatcher.
#ifndef BERGAMOTSCALE_SRC_POLICY_BASELINES_H_
#define BERGAMOTSCALE_SRC_POLICY_BASELINES_H_

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "src/policy/types.h"

namespace bergamotscale::policy {

enum class Baseline {
  kRoundRobin,
  kLeastConnections,
  kPushLeastLoaded,
  kPowerOfTwo,
};

// @return the name in reports, such as "round_robin".
const char* BaselineName(Baseline baseline);

// Assigns each request to one upstream at once, without a queue of its own.
// Thread safety: none.
class BaselineDispatcher {
 public:
  BaselineDispatcher(Baseline baseline, uint64_t seed);

  // @param own_running requests of this entry that run or wait, by index in
  // `views`.
  // @return an index in `views`; nothing if no upstream is usable.
  std::optional<int> Choose(const std::vector<UpstreamView>& views,
                            const std::vector<int>& own_running);

 private:
  std::optional<int> NextUsable(const std::vector<UpstreamView>& views);
  std::optional<int> RandomUsable(const std::vector<UpstreamView>& views);
  std::optional<int> LeastLoaded(const std::vector<UpstreamView>& views,
                                 const std::vector<int>& load);

  Baseline baseline_;
  std::mt19937_64 rng_;
  size_t next_ = 0;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_BASELINES_H_
