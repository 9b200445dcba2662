// Selects the batch-limited upstreams.
#ifndef BERGAMOTSCALE_SRC_POLICY_BATCH_LIMITED_UPSTREAMS_H_
#define BERGAMOTSCALE_SRC_POLICY_BATCH_LIMITED_UPSTREAMS_H_

#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "bergamotscale/config_document.h"
#include "src/policy/batch_target.h"
#include "src/policy/types.h"

namespace bergamotscale::policy {

// Concentrates the classes with the tightest inter-token target at the first
// few upstreams of each group, which run small batches, so that the others may
// run larger ones. Their number follows the demand of these classes, with a
// margin for bursts. Entries receive the same reports and so select nearly the
// same upstreams; where they differ, the sidecar's BatchTarget keeps the batch
// small for whatever arrives. Thread safety: none.
class BatchLimitedUpstreams {
 public:
  void Configure(const std::vector<ServiceClass>& classes);

  // Measures the demand and adapts the selection. Call about once a second.
  // @param views ordered by id.
  void Update(const std::vector<UpstreamView>& views);

  // @return whether the class may only run where CanRun() allows it.
  bool IsRestricted(const ClassId& name) const;

  // @return the wait at batch-limited upstreams beyond which a class may run at
  // any upstream.
  Millis GetMaxWait(const ClassId& name) const;

  // @return whether a restricted class may run at the upstream: it is
  // batch-limited, or its batch is small anyway.
  bool CanRun(const UpstreamView& view) const;

  // @return indices of the batch-limited upstreams of a group at the last
  // Update().
  const std::vector<int>& GetIndices(const GroupId& group) const;

 private:
  struct Group {
    std::vector<int> usable_;  // indices, without stragglers
    std::vector<int> batch_limited_;
    int count_ = 1;  // number of batch-limited upstreams to select
    // Moving averages: slots per batch-limited upstream, 0 if unknown, and
    // slots used by the tight classes.
    double slots_ = 0;
    double demand_ = 0;
    int updates_with_spare_ = 0;
  };
  void CollectUsable(const std::vector<UpstreamView>& views);
  void AdaptSelection(const std::vector<UpstreamView>& views,
                      Group* group) const;
  double MeasureDemand(const std::vector<UpstreamView>& views,
                       const Group& group) const;

  TightClasses tight_;
  std::unordered_map<ClassId, Millis> max_waits_;
  std::unordered_map<GroupId, Group> groups_;
  std::unordered_set<InstanceId> batch_limited_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_BATCH_LIMITED_UPSTREAMS_H_
