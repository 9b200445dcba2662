// Which of the listed sidecars an entry keeps links to.
#ifndef BERGAMOTSCALE_SRC_ENTRY_PEER_SUBSET_H_
#define BERGAMOTSCALE_SRC_ENTRY_PEER_SUBSET_H_

#include <map>
#include <set>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"
#include "src/entry/settings.h"

namespace bergamotscale::entry {

// Chooses by rendezvous hashing, so that a change of the list moves few links.
// An entry links to a sidecar if it is among the sidecar's first entries, most
// of them of the sidecar's zone and one of another; every sidecar then has its
// entries by construction. An entry that has too few sidecars of a group so
// adds the first of its own order, three quarters of them of its own zone.
// Few sidecars, or a list that names no other entry, are all linked to. Until
// the list has been read, an entry has only those of its own order.
// Cost: of a change of the list, the product of sidecars and entries.
// Thread safety: none.
class PeerSubset {
 public:
  // @param self, zone of this entry.
  PeerSubset(InstanceId self, ZoneId zone, SubsetSettings settings);

  // Takes over the list.
  // @return whether it has changed.
  bool SetMembers(const Members& members);

  // Doubles the number of sidecars of a group, up to all, because those linked
  // to are lost or full. A call within kWidenInterval of the last changes
  // nothing, so that new links can report first.
  // @return whether the subset has changed.
  bool Widen(const GroupId& group, Millis now);

  // Halves what was widened and not asked for in kWidenLifetime.
  // @return whether the subset has changed.
  bool Narrow(Millis now);

  // @return whether a sidecar of the list is in the subset.
  bool Contains(const InstanceId& sidecar) const;

  size_t size() const { return chosen_.size(); }

  static constexpr Millis kWidenInterval = Millis(300);
  static constexpr Millis kWidenLifetime = Millis(30'000);

 private:
  struct Width {
    int doublings_ = 0;
    Millis changed_;
  };
  using Group = std::vector<const SidecarMember*>;

  void Choose();
  void ChooseAll();
  bool IsAmongFirst(const SidecarMember& sidecar) const;
  void FillGroup(const GroupId& id, Group group);
  size_t WantedOf(const GroupId& group) const;

  const InstanceId self_;
  const ZoneId zone_;
  const SubsetSettings settings_;
  Members members_;
  std::map<GroupId, Width> widths_;
  std::set<InstanceId> chosen_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_PEER_SUBSET_H_
