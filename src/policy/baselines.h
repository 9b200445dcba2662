// Well-known ways to dispatch and to order, to compare the policy with.
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

// @return the stable name, such as "round_robin".
const char* BaselineName(Baseline baseline);

// Sends each request to one upstream, at once.
// Thread safety: none.
class BaselineDispatcher {
 public:
  BaselineDispatcher(Baseline baseline, uint64_t seed);

  // @param own_running requests of this entry that run or wait at each view.
  // @return an index in `views`; nothing if none is usable.
  std::optional<int> Choose(const std::vector<UpstreamView>& views,
                            const std::vector<int>& own_running);

 private:
  std::optional<int> NextUsable(const std::vector<UpstreamView>& views);
  std::optional<int> RandomUsable(const std::vector<UpstreamView>& views);
  std::optional<int> Least(const std::vector<UpstreamView>& views,
                           const std::vector<int>& load);

  Baseline baseline_;
  std::mt19937_64 random_;
  size_t next_ = 0;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_BASELINES_H_
