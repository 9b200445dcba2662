// Tests the links that PeerSubset chooses between many entries and many
// sidecars: coverage, bounds and stability.
#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "src/entry/membership.h"
#include "src/entry/peer_subset.h"
#include "tests/property.h"

namespace bergamotscale::entry {
namespace {

constexpr int kZones = 3;

std::string ZoneName(int index) {
  return "zone-" + std::to_string(index % kZones);
}

EntryMember EntryAt(int index) {
  return {InstanceId("e-" + std::to_string(index)), ZoneId(ZoneName(index))};
}

// Assigns groups so that each group has sidecars in each zone.
Members Fleet(int entries, int sidecars, int groups) {
  Members members;
  for (int i = 0; i < entries; ++i) {
    members.entries_.push_back(EntryAt(i));
  }
  for (int i = 0; i < sidecars; ++i) {
    SidecarMember member;
    member.id_ = InstanceId("s-" + std::to_string(i));
    member.zone_ = ZoneId(ZoneName(i));
    member.group_ = GroupId("g-" + std::to_string(i / kZones % groups));
    members.sidecars_.push_back(member);
  }
  return members;
}

PeerSubset SubsetOf(int entry, const Members& members) {
  const EntryMember self = EntryAt(entry);
  PeerSubset subset(self.id_, self.zone_, SubsetSettings());
  subset.SetMembers(members);
  return subset;
}

std::set<InstanceId> Chosen(const PeerSubset& subset, const Members& members) {
  std::set<InstanceId> chosen;
  for (const SidecarMember& sidecar : members.sidecars_) {
    if (subset.Contains(sidecar.id_)) {
      chosen.insert(sidecar.id_);
    }
  }
  return chosen;
}

TEST_CASE("subset: few sidecars, or no other entry listed, are all linked to") {
  CHECK(SubsetOf(0, Fleet(4, 9, 2)).size() == 9);
  CHECK(SubsetOf(0, Fleet(30, 64, 2)).size() == 64);
  CHECK(SubsetOf(0, Fleet(1, 900, 2)).size() == 900);
  CHECK(SubsetOf(0, Fleet(0, 900, 2)).size() == 900);
}

TEST_CASE("subset: before the list is read, only the minimum of each group") {
  Members members = Fleet(0, 900, 2);
  members.entries_known_ = false;
  PeerSubset subset = SubsetOf(0, members);
  CHECK(subset.size() == 16);
  members.entries_known_ = true;
  CHECK(subset.SetMembers(members));
  CHECK(subset.size() == 900);
}

TEST_CASE(
    "subset: each sidecar has enough entries, each entry enough sidecars") {
  testing::CheckProperty("covered", [] {
    const SubsetSettings settings;
    const int entries = *rc::gen::inRange(2, 40);
    const int groups = *rc::gen::inRange(1, 5);
    const Members members = Fleet(entries, *rc::gen::inRange(150, 300), groups);
    std::map<InstanceId, int> links;
    for (int entry = 0; entry < entries; ++entry) {
      const PeerSubset subset = SubsetOf(entry, members);
      std::map<GroupId, int> of_group;
      for (const SidecarMember& sidecar : members.sidecars_) {
        const int linked = subset.Contains(sidecar.id_) ? 1 : 0;
        links[sidecar.id_] += linked;
        of_group[sidecar.group_] += linked;
      }
      for (const auto& [group, count] : of_group) {
        RC_ASSERT(count >= settings.sidecars_per_group_);
      }
    }
    for (const auto& [sidecar, count] : links) {
      RC_ASSERT(count >= std::min(entries, settings.entries_per_sidecar_));
    }
  });
}

TEST_CASE("subset: bounded and mostly, but not only, in its own zone") {
  const Members members = Fleet(36, 700, 2);
  for (int entry = 0; entry < 36; ++entry) {
    const PeerSubset subset = SubsetOf(entry, members);
    int own = 0;
    for (const SidecarMember& sidecar : members.sidecars_) {
      const bool is_own = sidecar.zone_ == EntryAt(entry).zone_;
      own += is_own && subset.Contains(sidecar.id_) ? 1 : 0;
    }
    const int size = static_cast<int>(subset.size());
    CHECK(size < 700 / 4);
    CHECK(own * 2 > size);
    CHECK(own < size);
  }
}

TEST_CASE("subset: a change of the list moves only the links that it must") {
  const Members before = Fleet(36, 700, 1);
  Members without_sidecar = before;
  const InstanceId gone = without_sidecar.sidecars_[5].id_;
  without_sidecar.sidecars_.erase(without_sidecar.sidecars_.begin() + 5);
  Members without_entry = before;
  without_entry.entries_.pop_back();
  for (int entry = 0; entry < 35; ++entry) {
    const std::set<InstanceId> old = Chosen(SubsetOf(entry, before), before);
    for (const InstanceId& kept :
         Chosen(SubsetOf(entry, without_sidecar), without_sidecar)) {
      CHECK(old.count(kept) == 1);
    }
    const std::set<InstanceId> after =
        Chosen(SubsetOf(entry, without_entry), before);
    CHECK(std::includes(after.begin(), after.end(), old.begin(), old.end()));
    // The removed entry had about 80 links, now divided among 35 entries.
    CHECK(after.size() - old.size() < 20);
  }
}

TEST_CASE("subset: lost or full groups widen up to all, and narrow again") {
  const Members members = Fleet(36, 700, 2);
  PeerSubset subset = SubsetOf(0, members);
  const size_t at_first = subset.size();
  const GroupId group("g-0");
  Millis now(1000);
  size_t all_of_group = 0;
  for (const SidecarMember& sidecar : members.sidecars_) {
    all_of_group += sidecar.group_ == group ? 1 : 0;
  }
  for (int step = 0; step < 12; ++step) {
    subset.Widen(group, now);
    CHECK(!subset.Widen(group, now));  // new links must be able to report first
    now = now + PeerSubset::kWidenInterval;
  }
  CHECK(subset.size() > all_of_group);
  CHECK(subset.size() < members.sidecars_.size());
  for (int step = 0; step < 12; ++step) {
    now = now + PeerSubset::kWidenLifetime;
    subset.Narrow(now);
  }
  CHECK(subset.size() == at_first);
}

TEST_CASE("subset: live entries with a zone are read from the list") {
  const Result<std::vector<EntryMember>> entries = ParseListedEntries(R"(
    {"instances": [
      {"id": "e-2", "role": "entry", "zone": "b", "state": "live"},
      {"id": "e-1", "role": "entry", "zone": "a", "state": "live"},
      {"id": "e-3", "role": "entry", "zone": "a", "state": "leaving"},
      {"id": "e-4", "role": "entry", "state": "live"},
      {"id": "s-1", "role": "sidecar", "zone": "a", "state": "live"}]})");
  REQUIRE(entries.ok());
  REQUIRE(entries.value().size() == 2);
  CHECK(entries.value()[0].id_ == InstanceId("e-1"));
  CHECK(!ParseListedEntries("nonsense").ok());
}

}  // namespace
}  // namespace bergamotscale::entry
