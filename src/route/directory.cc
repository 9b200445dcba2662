#include "src/route/directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bergamotscale::route {
namespace {

bool SameUpstream(const UpstreamEntry& a, const UpstreamEntry& b) {
  return a.started_at_ == b.started_at_ && a.group_ == b.group_ &&
         a.ip_ == b.ip_ && a.port_ == b.port_ && a.zone_ == b.zone_ &&
         a.slots_ == b.slots_ && a.draining_ == b.draining_;
}

}  // namespace

Directory::Directory(Millis grace_period) : grace_period_(grace_period) {}

bool Directory::Put(const UpstreamEntry& entry) {
  const auto found = upstreams_.find(entry.id_);
  if (found == upstreams_.end()) {
    upstreams_[entry.id_] = Upstream{entry, false};
    return true;
  }
  const bool had_expired = std::exchange(found->second.expired_, false);
  if (SameUpstream(found->second.entry_, entry) && !had_expired) {
    return false;
  }
  found->second.entry_ = entry;
  return true;
}

bool Directory::Remove(const InstanceId& id, Millis now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return false;
  }
  const bool may_have_expired =
      registry_unavailable_ || (in_grace_ && now < grace_ends_);
  if (may_have_expired && !found->second.entry_.draining_) {
    found->second.expired_ = true;
    return false;
  }
  upstreams_.erase(found);
  return true;
}

void Directory::Replace(const std::vector<UpstreamEntry>& entries, Millis now) {
  std::set<InstanceId> present;
  for (const UpstreamEntry& entry : entries) {
    present.insert(entry.id_);
    Put(entry);
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
}

void Directory::OnRegistryUnavailable() {
  registry_unavailable_ = true;
}

void Directory::OnRegistryAvailable(Millis now) {
  if (!registry_unavailable_) {
    return;
  }
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
      upstream = upstreams_.erase(upstream);
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
    const bool may_be_alive =
        most_expired || listed_groups.count(upstream.entry_.group_) == 0;
    entries.back().registration_ =
        may_be_alive ? Registration::kLapsed : Registration::kMissing;
  }
  return entries;
}

}  // namespace bergamotscale::route
