#include "src/gateway/upstream_set_impl.h"

#include <algorithm>
#include <string>

#include <xxhash.h>

namespace bergamotscale::gateway {
namespace {

// Identifies the incarnation, because a restarted instance has an empty cache.
// The start time is hashed with the id: as a seed it could cancel out the
// difference of two short ids.
uint64_t HashIncarnation(const route::UpstreamEntry& entry) {
  const std::string text =
      entry.id_.value() + " " + std::to_string(entry.started_at_);
  return XXH3_64bits(text.data(), text.size());
}

// 32 bits, because each datagram between gateways holds one for each instance.
// In a fleet of 7,000 instances, two collide with a probability of 1 in 170;
// their loads are then added up.
uint64_t ShortHash(uint64_t hash) {
  return static_cast<uint32_t>(hash);
}

}  // namespace

void UpstreamSet::Impl::Update(
    const std::vector<route::UpstreamEntry>& entries) {
  for (auto& [id, instance] : instances_) {
    instance.listed_ = false;
  }
  for (const route::UpstreamEntry& entry : entries) {
    Instance& instance = instances_[entry.id_];
    const bool is_new_incarnation =
        instance.entry_.started_at_ != entry.started_at_ ||
        instance.entry_.version_ != entry.version_ ||
        instance.entry_.ip_ != entry.ip_ ||
        instance.entry_.port_ != entry.port_;
    if (is_new_incarnation) {
      // Records of an earlier incarnation no longer apply.
      cache_estimate_.Forget(instance.id_hash_);
      instance = Instance();
    }
    instance.entry_ = entry;
    instance.rate_hash_ = HashIncarnation(entry);
    instance.id_hash_ = ShortHash(instance.rate_hash_);
    cache_estimate_.SetCapacity(instance.id_hash_,
                                cache_capacity_[entry.group_]);
    instance.listed_ = true;
    if (!IsOpen(instance)) {
      instance.idle_.clear();
    }
  }
  notices_.Expire(boot_.Now());
  for (auto it = instances_.begin(); it != instances_.end();) {
    if (it->second.listed_) {
      ++it;
    } else {
      cache_estimate_.Forget(it->second.id_hash_);
      it = instances_.erase(it);
    }
  }
  OrderEngines();
  CheckVersions(boot_.Now());
}

UpstreamSet::Impl::Instance* UpstreamSet::Impl::Find(const UpstreamKey& key) {
  const auto found = instances_.find(key.id_);
  const bool same = found != instances_.end() &&
                    found->second.entry_.started_at_ == key.started_at_;
  return same ? &found->second : nullptr;
}

UpstreamKey UpstreamSet::Impl::KeyOf(const Instance& instance) {
  return {instance.entry_.id_, instance.entry_.started_at_};
}

bool UpstreamSet::Impl::IsOpen(const Instance& instance) const {
  return !instance.entry_.draining_ &&
         instance.entry_.registration_ != route::Registration::kMissing &&
         !notices_.IsLeaving(instance.entry_.id_, instance.entry_.started_at_);
}

bool UpstreamSet::Impl::TakesRequests(const Instance& instance,
                                      Millis now) const {
  return IsOpen(instance) && PausedUntil(instance) <= now &&
         rate_limits_.Allows(RateKey(instance), now);
}

Millis UpstreamSet::Impl::PausedUntil(const Instance& instance) const {
  return notices_.PausedUntil(instance.entry_.id_, instance.entry_.started_at_);
}

bool UpstreamSet::Impl::HasVersion(const policy::StreamOrigin& origin) const {
  return std::any_of(
      instances_.begin(), instances_.end(), [&](const auto& item) {
        const Instance& instance = item.second;
        return instance.entry_.group_ == origin.group_ &&
               instance.entry_.version_ == origin.version_ && IsOpen(instance);
      });
}

void UpstreamSet::Impl::CheckVersions(Millis now) {
  versions_checked_at_ = now;
  for (auto& [id, instance] : instances_) {
    instance.use_ = use_of_version_
                        ? use_of_version_({instance.entry_.group_,
                                           instance.entry_.version_})
                        : VersionUse::kPreferred;
  }
}

void UpstreamSet::Impl::OrderEngines() {
  for (auto& [group, engines] : engine_groups_) {
    engines.order_.clear();
  }
  for (auto& [id, instance] : instances_) {
    engine_groups_[instance.entry_.group_].order_.push_back(&instance);
  }
  for (auto& [group, engines] : engine_groups_) {
    SortEngines(&engines);
  }
}

void UpstreamSet::Impl::SortEngines(EngineGroup* engines) {
  std::sort(engines->order_.begin(), engines->order_.end(),
            [](const Instance* a, const Instance* b) {
              if (a->speed_.is_fast() != b->speed_.is_fast()) {
                return a->speed_.is_fast();
              }
              return PoolRank(*a) < PoolRank(*b);
            });
}

uint64_t UpstreamSet::Impl::PoolRank(const Instance& instance) {
  const std::string& id = instance.entry_.id_.value();
  return XXH3_64bits(id.data(), id.size());
}

bool UpstreamSet::Impl::MarkLeaving(const UpstreamKey& key) {
  const bool is_new = notices_.OnLeaving(key.id_, key.started_at_, boot_.Now());
  if (Instance* instance = Find(key)) {
    instance->idle_.clear();
  }
  return is_new;
}

Millis UpstreamSet::Impl::TimeUntilUnpaused(const GroupId& group) const {
  const Millis now = boot_.Now();
  Millis earliest;
  for (const auto& [id, instance] : instances_) {
    if (instance.entry_.group_ != group || !IsOpen(instance)) {
      continue;
    }
    const Millis left = PausedUntil(instance) - now;
    if (left <= Millis(0)) {
      return Millis(0);
    }
    earliest = earliest == Millis(0) ? left : std::min(earliest, left);
  }
  return earliest;
}

void UpstreamSet::Impl::OnUnreachable(const UpstreamKey& key) {
  if (Instance* instance = Find(key)) {
    instance->health_.OnUnreachable(boot_.Now());
    instance->idle_.clear();
  }
}

void UpstreamSet::Impl::RecordOutcome(Instance* instance, CallOutcome outcome) {
  const Millis now = boot_.Now();
  switch (outcome) {
    case CallOutcome::kServed:
      instance->health_.OnSuccess(now);
      break;
    case CallOutcome::kRejected:
    case CallOutcome::kFailed:
    case CallOutcome::kConnectionLost:
      instance->health_.OnFailure(now);
      break;
    case CallOutcome::kUnreachable:  // recorded when the connection failed
    case CallOutcome::kCancelled:
      break;
  }
}

}  // namespace bergamotscale::gateway
