// Chooses the sidecars to which an entry keeps links.
#ifndef BERGAMOTSCALE_SRC_ENTRY_PEER_SUBSET_H_
#define BERGAMOTSCALE_SRC_ENTRY_PEER_SUBSET_H_

#include <map>
#include <set>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"
#include "src/entry/settings.h"

namespace bergamotscale::entry {

// Uses rendezvous hashing, so that a change of the instance list moves few
// links. Each sidecar is assigned to the entries that rank highest for it, most
// of them in the sidecar's zone and one in another, so every sidecar gets the
// minimum number of links. An entry with too few sidecars of a group adds those
// that rank highest for the entry, three quarters of them in its own zone. If
// there are few sidecars, or no other entry is listed, the entry links to all.
// Until the list has been read, the entry links only to the sidecars that rank
// highest for the entry. A list change takes O(sidecars * entries). Thread
// safety: none.
class PeerSubset {
 public:
  // @param self, zone identify this entry.
  PeerSubset(InstanceId self, ZoneId zone, SubsetSettings settings);

  // Replaces the members. @return whether they differ from the previous ones.
  bool SetMembers(const Members& members);

  // Doubles the target number of sidecars of a group, up to all. Call when the
  // linked ones are lost or full. After an effective call, further calls have
  // no effect for kWidenInterval, so that new links can report first.
  // @return whether the subset has changed.
  bool Widen(const GroupId& group, Millis now);

  // Halves the target of groups that were not widened for kWidenLifetime.
  // @return whether the subset has changed.
  bool Narrow(Millis now);

  // @return whether the sidecar is in the subset.
  bool Contains(const InstanceId& sidecar) const;

  size_t size() const { return chosen_.size(); }

  static constexpr Millis kWidenInterval = Millis(300);
  static constexpr Millis kWidenLifetime = Millis(30'000);

 private:
  struct Widening {
    int doublings_ = 0;
    Millis changed_;
  };
  using Group = std::vector<const SidecarMember*>;

  void Choose();
  void ChooseAll();
  bool IsAssignedTo(const SidecarMember& sidecar) const;
  void FillGroup(const GroupId& id, Group group);
  size_t TargetSize(const GroupId& group) const;

  const InstanceId self_;
  const ZoneId zone_;
  const SubsetSettings settings_;
  Members members_;
  std::map<GroupId, Widening> widenings_;
  std::set<InstanceId> chosen_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_PEER_SUBSET_H_
