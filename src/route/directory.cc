#include "src/route/directory.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace bergamotscale::route {
namespace {

// How long the number of an upstream's last entry is kept after its removal; a
// write that the registry carries out late comes well within it.
constexpr Millis kRemovedLifetime = Millis(60'000);

// @return whether the entry was written before one with these numbers.
bool IsBefore(const UpstreamEntry& entry,
              int64_t started_at,
              int64_t sequence) {
  return std::tie(entry.started_at_, entry.sequence_) <
         std::tie(started_at, sequence);
}

bool SameUpstream(const UpstreamEntry& a, const UpstreamEntry& b) {
  return a.started_at_ == b.started_at_ && a.group_ == b.group_ &&
         a.ip_ == b.ip_ && a.port_ == b.port_ && a.zone_ == b.zone_ &&
         a.version_ == b.version_ && a.slots_ == b.slots_ &&
         a.draining_ == b.draining_;
}

}  // namespace

SoftwareVersion MakeOwnVersion(const InstanceId& id, int64_t started_at) {
  return SoftwareVersion("none " + id.value() + " " +
                         std::to_string(started_at));
}

Directory::Directory(Millis grace_period) : grace_period_(grace_period) {}

bool Directory::IsOutdated(const UpstreamEntry& entry, Millis now) const {
  const auto listed = upstreams_.find(entry.id_);
  if (listed != upstreams_.end()) {
    const UpstreamEntry& last = listed->second.entry_;
    return IsBefore(entry, last.started_at_, last.sequence_);
  }
  const auto removed = removed_.find(entry.id_);
  if (removed == removed_.end() ||
      now >= removed->second.at_ + kRemovedLifetime) {
    return false;
  }
  const Removed& last = removed->second;
  const bool is_last = entry.sequence_ > 0 &&
                       entry.started_at_ == last.started_at_ &&
                       entry.sequence_ == last.sequence_;
  return is_last || IsBefore(entry, last.started_at_, last.sequence_);
}

Directory::Change Directory::Put(const UpstreamEntry& entry, Millis now) {
  if (IsOutdated(entry, now)) {
    return Change::kOutdated;
  }
  removed_.erase(entry.id_);
  const auto found = upstreams_.find(entry.id_);
  if (found == upstreams_.end()) {
    upstreams_[entry.id_] = Upstream{entry};
    return Change::kChanged;
  }
  const bool had_expired = std::exchange(found->second.expired_, false);
  found->second.is_lost_ = false;
  const bool is_heartbeat =
      SameUpstream(found->second.entry_, entry) && !had_expired;
  found->second.entry_ = entry;
  return is_heartbeat ? Change::kNone : Change::kChanged;
}

void Directory::Drop(std::map<InstanceId, Upstream>::iterator upstream,
                     Millis now) {
  for (auto removed = removed_.begin(); removed != removed_.end();) {
    removed = now >= removed->second.at_ + kRemovedLifetime
                  ? removed_.erase(removed)
                  : std::next(removed);
  }
  const UpstreamEntry& last = upstream->second.entry_;
  removed_[last.id_] = Removed{last.started_at_, last.sequence_, now};
  upstreams_.erase(upstream);
}

bool Directory::Remove(const InstanceId& id, Millis now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return false;
  }
  const bool may_have_expired =
      registry_unavailable_ || (in_grace_ && now < grace_ends_);
  if (may_have_expired && !found->second.entry_.draining_) {
    Upstream& upstream = found->second;
    upstream.is_lost_ =
        is_restored_ && (upstream.is_lost_ || !upstream.expired_);
    upstream.expired_ = true;
    return false;
  }
  Drop(found, now);
  return true;
}

void Directory::Replace(const std::vector<UpstreamEntry>& entries, Millis now) {
  std::set<InstanceId> present;
  for (const UpstreamEntry& entry : entries) {
    present.insert(entry.id_);
    Put(entry, now);
  }
  std::vector<InstanceId> missing;
  for (const auto& [id, upstream] : upstreams_) {
    if (present.count(id) == 0) {
      missing.push_back(id);
    }
  }
  for (const InstanceId& id : missing) {
    Remove(id, now);
  }
  is_restored_ = false;
}

void Directory::OnRegistryUnavailable() {
  registry_unavailable_ = true;
}

void Directory::OnRegistryRestored(Millis now) {
  is_restored_ = true;
  StartGrace(now);
}

void Directory::OnRegistryAvailable(Millis now) {
  if (registry_unavailable_) {
    StartGrace(now);
  }
}

void Directory::StartGrace(Millis now) {
  registry_unavailable_ = false;
  in_grace_ = true;
  grace_ends_ = now + grace_period_;
}

bool Directory::Expire(Millis now) {
  if (registry_unavailable_ || !in_grace_ || now < grace_ends_) {
    return false;
  }
  in_grace_ = false;
  bool dropped = false;
  for (auto upstream = upstreams_.begin(); upstream != upstreams_.end();) {
    if (upstream->second.expired_) {
      Drop(upstream++, now);
      dropped = true;
    } else {
      ++upstream;
    }
  }
  return dropped;
}

size_t Directory::CountExpired() const {
  return static_cast<size_t>(std::count_if(
      upstreams_.begin(), upstreams_.end(),
      [](const auto& upstream) { return upstream.second.expired_; }));
}

std::vector<UpstreamEntry> Directory::Entries() const {
  const bool most_expired = CountExpired() * 2 > upstreams_.size();
  std::set<GroupId> listed_groups;
  for (const auto& [id, upstream] : upstreams_) {
    if (!upstream.expired_) {
      listed_groups.insert(upstream.entry_.group_);
    }
  }
  std::vector<UpstreamEntry> entries;
  entries.reserve(upstreams_.size());
  for (const auto& [id, upstream] : upstreams_) {
    entries.push_back(upstream.entry_);
    if (!upstream.expired_) {
      continue;
    }
    // A group without any listed upstream would get no requests at all.
    const bool may_be_alive = upstream.is_lost_ || most_expired ||
                              listed_groups.count(upstream.entry_.group_) == 0;
    entries.back().registration_ =
        may_be_alive ? Registration::kLapsed : Registration::kMissing;
  }
  return entries;
}

}  // namespace bergamotscale::route
