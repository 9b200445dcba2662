// Which upstreams are kept at a small batch for the classes that need it.
#ifndef BERGAMOTSCALE_SRC_POLICY_KEPT_UPSTREAMS_H_
#define BERGAMOTSCALE_SRC_POLICY_KEPT_UPSTREAMS_H_

#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "bergamotscale/config_document.h"
#include "src/policy/batch_target.h"
#include "src/policy/types.h"

namespace bergamotscale::policy {

// Gathers the classes with the tightest time between tokens at the first few
// upstreams of each group, as many as their demand needs with room for bursts,
// so that the others may run larger batches. Entries see the same reports and
// so keep nearly the same upstreams; where they differ, a sidecar's BatchTarget
// keeps the small batch for whatever comes.
// Thread safety: none.
class KeptUpstreams {
 public:
  void Configure(const std::vector<ServiceClass>& classes);

  // Measures the demand and adapts. Call about once a second.
  // @param views in the order of their ids.
  void Update(const std::vector<UpstreamView>& views);

  // @return whether the class has to keep to MayRun().
  bool Restricts(const ClassId& name) const;

  // @return the wait at those from which on it looks at all others.
  Millis PatienceOf(const ClassId& name) const;

  // @return whether a class that is restricted may run there: it is kept, or
  // its batch is small anyway.
  bool MayRun(const UpstreamView& view) const;

  // @return indices of the kept upstreams of a group at the last Update().
  const std::vector<int>& IndicesOf(const GroupId& group) const;

 private:
  struct Group {
    std::vector<int> usable_;  // indices, stragglers left out
    std::vector<int> kept_;
    int count_ = 1;  // upstreams to keep
    // Recent means: slots of a kept upstream, 0 if not known, and slots that
    // the tight classes use.
    double slots_ = 0;
    double demand_ = 0;
    int updates_with_room_ = 0;
  };
  void Collect(const std::vector<UpstreamView>& views);
  void Adapt(const std::vector<UpstreamView>& views, Group* group) const;
  double Demand(const std::vector<UpstreamView>& views,
                const Group& group) const;

  TightClasses tight_;
  std::unordered_map<ClassId, Millis> patience_;
  std::unordered_map<GroupId, Group> groups_;
  std::unordered_set<InstanceId> kept_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_KEPT_UPSTREAMS_H_
