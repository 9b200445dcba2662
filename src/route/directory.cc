#include "src/route/directory.h"

#include <set>

namespace bergamotscale::route {
namespace {

bool SameUpstream(const UpstreamEntry& a, const UpstreamEntry& b) {
  return a.started_at_ == b.started_at_ && a.group_ == b.group_ &&
         a.ip_ == b.ip_ && a.port_ == b.port_ && a.zone_ == b.zone_ &&
         a.slots_ == b.slots_ && a.draining_ == b.draining_;
}

}  // namespace

Directory::Directory(Millis lapse_grace) : lapse_grace_(lapse_grace) {}

bool Directory::Put(const UpstreamEntry& entry) {
  const auto found = held_.find(entry.id_);
  if (found == held_.end()) {
    held_[entry.id_] = Held{entry, false};
    return true;
  }
  found->second.lapsed_ = false;
  if (SameUpstream(found->second.entry_, entry)) {
    return false;
  }
  found->second.entry_ = entry;
  return true;
}

bool Directory::Remove(const InstanceId& id, Millis now) {
  const auto found = held_.find(id);
  if (found == held_.end()) {
    return false;
  }
  const bool may_have_lapsed = away_ || (in_grace_ && now < grace_ends_);
  if (may_have_lapsed && !found->second.entry_.draining_) {
    found->second.lapsed_ = true;
    return false;
  }
  held_.erase(found);
  return true;
}

void Directory::Replace(const std::vector<UpstreamEntry>& entries, Millis now) {
  std::set<InstanceId> present;
  for (const UpstreamEntry& entry : entries) {
    present.insert(entry.id_);
    Put(entry);
  }
  std::vector<InstanceId> missing;
  for (const auto& [id, held] : held_) {
    if (present.count(id) == 0) {
      missing.push_back(id);
    }
  }
  for (const InstanceId& id : missing) {
    Remove(id, now);
  }
}

void Directory::OnAway() {
  away_ = true;
}

void Directory::OnBack(Millis now) {
  if (!away_) {
    return;
  }
  away_ = false;
  in_grace_ = true;
  grace_ends_ = now + lapse_grace_;
}

bool Directory::Expire(Millis now) {
  if (away_ || !in_grace_ || now < grace_ends_) {
    return false;
  }
  in_grace_ = false;
  bool dropped = false;
  for (auto held = held_.begin(); held != held_.end();) {
    if (held->second.lapsed_) {
      held = held_.erase(held);
      dropped = true;
    } else {
      ++held;
    }
  }
  return dropped;
}

std::vector<UpstreamEntry> Directory::Entries() const {
  std::vector<UpstreamEntry> entries;
  entries.reserve(held_.size());
  for (const auto& [id, held] : held_) {
    entries.push_back(held.entry_);
  }
  return entries;
}

}  // namespace bergamotscale::route
