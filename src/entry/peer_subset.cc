#include "src/entry/peer_subset.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace bergamotscale::entry {
namespace {

// Number of entries of other zones that link to each sidecar.
constexpr int kOtherZoneEntries = 1;
// Of a group's target size, one in this many sidecars is in another zone.
constexpr size_t kOtherZoneDivisor = 4;

uint64_t HashOf(const std::string& name, uint64_t seed) {
  return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

// @return the rendezvous weight of a pair. The highest weight ranks first.
uint64_t WeightOf(const InstanceId& entry, const InstanceId& sidecar) {
  return HashOf(sidecar.value(), HashOf(entry.value(), 0));
}

bool IsSameSidecar(const SidecarMember& a, const SidecarMember& b) {
  return a.id_ == b.id_ && a.group_ == b.group_ && a.zone_ == b.zone_ &&
         a.endpoint_ == b.endpoint_;
}

bool IsSameEntry(const EntryMember& a, const EntryMember& b) {
  return a.id_ == b.id_ && a.zone_ == b.zone_;
}

}  // namespace

PeerSubset::PeerSubset(InstanceId self, ZoneId zone, SubsetSettings settings)
    : self_(std::move(self)), zone_(std::move(zone)), settings_(settings) {}

bool PeerSubset::SetMembers(const Members& members) {
  const auto& current = members_;
  const bool same =
      current.entries_known_ == members.entries_known_ &&
      std::equal(current.sidecars_.begin(), current.sidecars_.end(),
                 members.sidecars_.begin(), members.sidecars_.end(),
                 IsSameSidecar) &&
      std::equal(current.entries_.begin(), current.entries_.end(),
                 members.entries_.begin(), members.entries_.end(), IsSameEntry);
  if (same) {
    return false;
  }
  members_ = members;
  Choose();
  return true;
}

bool PeerSubset::Widen(const GroupId& group, Millis now) {
  const size_t old_size = chosen_.size();
  if (old_size == members_.sidecars_.size()) {
    return false;
  }
  Widening& widening = widenings_[group];
  if (widening.doublings_ > 0 && now - widening.changed_ < kWidenInterval) {
    return false;
  }
  widening.changed_ = now;
  const bool all = TargetSize(group) >= members_.sidecars_.size();
  widening.doublings_ += all ? 0 : 1;
  Choose();
  return chosen_.size() != old_size;
}

bool PeerSubset::Narrow(Millis now) {
  bool changed = false;
  for (auto widening = widenings_.begin(); widening != widenings_.end();) {
    if (now - widening->second.changed_ < kWidenLifetime) {
      ++widening;
      continue;
    }
    changed = true;
    widening->second.changed_ = now;
    --widening->second.doublings_;
    widening = widening->second.doublings_ <= 0 ? widenings_.erase(widening)
                                                : ++widening;
  }
  if (changed) {
    Choose();
  }
  return changed;
}

bool PeerSubset::Contains(const InstanceId& sidecar) const {
  return chosen_.count(sidecar) > 0;
}

void PeerSubset::Choose() {
  chosen_.clear();
  const size_t full_mesh_limit =
      static_cast<size_t>(settings_.full_mesh_up_to_);
  const bool is_only_entry = std::all_of(
      members_.entries_.begin(), members_.entries_.end(),
      [this](const EntryMember& entry) { return entry.id_ == self_; });
  if ((is_only_entry && members_.entries_known_) ||
      members_.sidecars_.size() <= full_mesh_limit) {
    ChooseAll();
    return;
  }
  std::map<GroupId, Group> groups;
  for (const SidecarMember& sidecar : members_.sidecars_) {
    groups[sidecar.group_].push_back(&sidecar);
    if (members_.entries_known_ && IsAssignedTo(sidecar)) {
      chosen_.insert(sidecar.id_);
    }
  }
  for (auto& [id, group] : groups) {
    FillGroup(id, std::move(group));
  }
}

void PeerSubset::ChooseAll() {
  for (const SidecarMember& sidecar : members_.sidecars_) {
    chosen_.insert(sidecar.id_);
  }
}

// @return whether this entry ranks among the entries_per_sidecar_ entries that
// are assigned to the sidecar. Entries of the sidecar's zone and of the other
// zones are ranked separately.
bool PeerSubset::IsAssignedTo(const SidecarMember& sidecar) const {
  const bool own_zone = sidecar.zone_ == zone_;
  const uint64_t weight = WeightOf(self_, sidecar.id_);
  int ranked_before = 0;  // entries of the same ranking with a higher weight
  int same_ranking = 1;   // entries of the same ranking, including this one
  int other_ranking = 0;  // entries of the other ranking
  for (const EntryMember& entry : members_.entries_) {
    if (entry.id_ == self_) {
      continue;
    }
    if ((entry.zone_ == sidecar.zone_) != own_zone) {
      ++other_ranking;
      continue;
    }
    ++same_ranking;
    ranked_before += WeightOf(entry.id_, sidecar.id_) > weight ? 1 : 0;
  }
  const int wanted = settings_.entries_per_sidecar_;
  const int in_zone = own_zone ? same_ranking : other_ranking;
  const int other_zones = own_zone ? other_ranking : same_ranking;
  const int from_other_zones =
      std::min(other_zones, std::max(kOtherZoneEntries, wanted - in_zone));
  return ranked_before <
         (own_zone ? wanted - from_other_zones : from_other_zones);
}

size_t PeerSubset::TargetSize(const GroupId& group) const {
  const auto widening = widenings_.find(group);
  const int doublings = widening == widenings_.end()
                            ? 0
                            : std::max(widening->second.doublings_, 0);
  return static_cast<size_t>(settings_.sidecars_per_group_) << doublings;
}

void PeerSubset::FillGroup(const GroupId& id, Group group) {
  const size_t wanted = TargetSize(id);
  std::sort(group.begin(), group.end(),
            [this](const SidecarMember* a, const SidecarMember* b) {
              return WeightOf(self_, a->id_) > WeightOf(self_, b->id_);
            });
  const size_t from_other_zones = wanted / kOtherZoneDivisor;
  size_t own_zone_count = 0;
  size_t other_zones = 0;
  for (const SidecarMember* sidecar : group) {
    if (Contains(sidecar->id_)) {
      ++(sidecar->zone_ == zone_ ? own_zone_count : other_zones);
    }
  }
  const auto add = [&](bool any_zone) {
    for (const SidecarMember* sidecar : group) {
      const bool is_own = sidecar->zone_ == zone_;
      size_t& count = is_own ? own_zone_count : other_zones;
      const size_t limit =
          is_own ? wanted - from_other_zones : from_other_zones;
      const bool room =
          own_zone_count + other_zones < wanted && (any_zone || count < limit);
      if (room && chosen_.insert(sidecar->id_).second) {
        ++count;
      }
    }
  };
  add(false);
  add(true);
}

}  // namespace bergamotscale::entry
