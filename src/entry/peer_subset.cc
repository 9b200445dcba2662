#include "src/entry/peer_subset.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace bergamotscale::entry {
namespace {

// Entries of other zones that each sidecar has.
constexpr int kOtherZoneEntries = 1;
// Of four sidecars that an entry adds to a group, one is of another zone.
constexpr size_t kOtherZoneDivisor = 4;

uint64_t HashOf(const std::string& name, uint64_t seed) {
  return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

// Rendezvous weight of a pair; higher goes first.
uint64_t WeightOf(const InstanceId& entry, const InstanceId& sidecar) {
  return HashOf(sidecar.value(), HashOf(entry.value(), 0));
}

bool IsSame(const SidecarMember& a, const SidecarMember& b) {
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
  const auto& known = members_;
  const bool same =
      known.entries_known_ == members.entries_known_ &&
      std::equal(known.sidecars_.begin(), known.sidecars_.end(),
                 members.sidecars_.begin(), members.sidecars_.end(), IsSame) &&
      std::equal(known.entries_.begin(), known.entries_.end(),
                 members.entries_.begin(), members.entries_.end(), IsSameEntry);
  if (same) {
    return false;
  }
  members_ = members;
  Choose();
  return true;
}

bool PeerSubset::Widen(const GroupId& group, Millis now) {
  const size_t before = chosen_.size();
  if (before == members_.sidecars_.size()) {
    return false;
  }
  Width& width = widths_[group];
  if (width.doublings_ > 0 && now - width.changed_ < kWidenInterval) {
    return false;
  }
  width.changed_ = now;
  const bool all = WantedOf(group) >= members_.sidecars_.size();
  width.doublings_ += all ? 0 : 1;
  Choose();
  return chosen_.size() != before;
}

bool PeerSubset::Narrow(Millis now) {
  bool changed = false;
  for (auto width = widths_.begin(); width != widths_.end();) {
    if (now - width->second.changed_ < kWidenLifetime) {
      ++width;
      continue;
    }
    changed = true;
    width->second.changed_ = now;
    --width->second.doublings_;
    width = width->second.doublings_ <= 0 ? widths_.erase(width) : ++width;
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
  const size_t few = static_cast<size_t>(settings_.full_mesh_up_to_);
  const bool none_other = std::all_of(
      members_.entries_.begin(), members_.entries_.end(),
      [this](const EntryMember& entry) { return entry.id_ == self_; });
  if ((none_other && members_.entries_known_) ||
      members_.sidecars_.size() <= few) {
    ChooseAll();
    return;
  }
  std::map<GroupId, Group> groups;
  for (const SidecarMember& sidecar : members_.sidecars_) {
    groups[sidecar.group_].push_back(&sidecar);
    if (members_.entries_known_ && IsAmongFirst(sidecar)) {
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

// @return whether this entry is among the entries that the sidecar has: the
// first of its zone and of the others, as many as the settings say in all.
bool PeerSubset::IsAmongFirst(const SidecarMember& sidecar) const {
  const bool own_zone = sidecar.zone_ == zone_;
  const uint64_t weight = WeightOf(self_, sidecar.id_);
  int before = 0;   // entries on this entry's side that go before it
  int on_side = 1;  // entries on this entry's side, with itself
  int others = 0;
  for (const EntryMember& entry : members_.entries_) {
    if (entry.id_ == self_) {
      continue;
    }
    if ((entry.zone_ == sidecar.zone_) != own_zone) {
      ++others;
      continue;
    }
    ++on_side;
    before += WeightOf(entry.id_, sidecar.id_) > weight ? 1 : 0;
  }
  const int wanted = settings_.entries_per_sidecar_;
  const int in_zone = own_zone ? on_side : others;
  const int elsewhere = own_zone ? others : on_side;
  const int from_elsewhere =
      std::min(elsewhere, std::max(kOtherZoneEntries, wanted - in_zone));
  return before < (own_zone ? wanted - from_elsewhere : from_elsewhere);
}

size_t PeerSubset::WantedOf(const GroupId& group) const {
  const auto width = widths_.find(group);
  const int doublings =
      width == widths_.end() ? 0 : std::max(width->second.doublings_, 0);
  return static_cast<size_t>(settings_.sidecars_per_group_) << doublings;
}

void PeerSubset::FillGroup(const GroupId& id, Group group) {
  const size_t wanted = WantedOf(id);
  std::sort(group.begin(), group.end(),
            [this](const SidecarMember* a, const SidecarMember* b) {
              return WeightOf(self_, a->id_) > WeightOf(self_, b->id_);
            });
  const size_t from_elsewhere = wanted / kOtherZoneDivisor;
  size_t own = 0;
  size_t elsewhere = 0;
  for (const SidecarMember* sidecar : group) {
    if (Contains(sidecar->id_)) {
      ++(sidecar->zone_ == zone_ ? own : elsewhere);
    }
  }
  const auto add = [&](bool any_zone) {
    for (const SidecarMember* sidecar : group) {
      const bool is_own = sidecar->zone_ == zone_;
      size_t& count = is_own ? own : elsewhere;
      const size_t most = is_own ? wanted - from_elsewhere : from_elsewhere;
      const bool room = own + elsewhere < wanted && (any_zone || count < most);
      if (room && chosen_.insert(sidecar->id_).second) {
        ++count;
      }
    }
  };
  add(false);
  add(true);
}

}  // namespace bergamotscale::entry
