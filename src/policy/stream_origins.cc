#include "src/policy/stream_origins.h"

#include <algorithm>
#include <utility>

namespace bergamotscale::policy {

const char* OriginSourceName(OriginSource source) {
  switch (source) {
    case OriginSource::kRecorded:
      return "recorded";
    case OriginSource::kOnlyVersion:
      return "only_version";
    case OriginSource::kUnknown:
      break;
  }
  return "unknown";
}

bool StreamOrigins::IsPossible(const Version& version, Millis now) {
  return version.is_listed_ || now - version.last_seen_ <= kVersionLifetime;
}

void StreamOrigins::OnListed(const VersionSets& listed, Millis now) {
  for (auto& [id, group] : groups_) {
    for (auto& [name, version] : group.versions_) {
      if (std::exchange(version.is_listed_, false)) {
        version.last_seen_ = version.last_listed_ = now;
      }
    }
  }
  for (const auto& [id, names] : listed) {
    for (const SoftwareVersion& name : names) {
      Version& version = Note(id, name, now);
      if (version.last_listed_ != now) {
        version.listed_since_ = now;
      }
      version.last_listed_ = now;
      version.is_listed_ = true;
    }
  }
  UpdateMixed(now);
}

void StreamOrigins::OnStored(const VersionSets& stored, Millis now) {
  // What the log newly names was in use at an unknown time.
  for (const auto& [id, names] : stored) {
    for (const SoftwareVersion& name : names) {
      if (!stored_.has_value() || stored_->count(id) == 0 ||
          stored_->at(id).count(name) == 0) {
        Note(id, name, now);
      }
    }
  }
  stored_ = stored;
  UpdateMixed(now);
}

StreamOrigins::Version& StreamOrigins::Note(const GroupId& group,
                                            const SoftwareVersion& name,
                                            Millis now) {
  const Version unlisted{now, Millis(-1) - kVersionLifetime, now, false};
  Version& version =
      groups_[group].versions_.try_emplace(name, unlisted).first->second;
  version.last_seen_ = now;
  return version;
}

void StreamOrigins::OnStoreLost() {
  stored_.reset();
}

void StreamOrigins::OnPeerVersions(const VersionSets& versions, Millis now) {
  for (const auto& [id, names] : versions) {
    for (const SoftwareVersion& name : names) {
      Note(id, name, now);
    }
  }
  UpdateMixed(now);
}

bool StreamOrigins::IsMixed(const GroupId& group) const {
  const auto found = groups_.find(group);
  return found != groups_.end() && found->second.is_mixed_;
}

// Streams that began while their group had one version are given out too once
// it has several.
void StreamOrigins::UpdateMixed(Millis now) {
  std::set<GroupId> newly_mixed;
  for (auto& [id, group] : groups_) {
    const auto possible = std::count_if(
        group.versions_.begin(), group.versions_.end(),
        [now](const auto& version) { return IsPossible(version.second, now); });
    const bool was_mixed = std::exchange(group.is_mixed_, possible > 1);
    if (group.is_mixed_ && !was_mixed) {
      newly_mixed.insert(id);
    }
  }
  if (newly_mixed.empty()) {
    return;
  }
  for (const RequestId& id : order_) {
    const auto found = streams_.find(id);
    if (found != streams_.end() && found->second.is_own_ &&
        newly_mixed.count(found->second.origin_.group_) > 0) {
      WriteLater(id, &found->second, now);
    }
  }
}

void StreamOrigins::WriteLater(const RequestId& id,
                               Stream* stream,
                               Millis now) {
  if (!std::exchange(stream->is_written_, true)) {
    stream->unwritten_since_ = now;
    unwritten_.push_back(id);
  }
}

void StreamOrigins::Add(const RequestId& id, const Stream& stream) {
  if (streams_.size() >= kMaxStreams) {
    streams_.erase(order_.front());
    order_.pop_front();
  }
  streams_[id] = stream;
  order_.push_back(id);
}

void StreamOrigins::OnBegun(const RequestId& stream,
                            const StreamOrigin& origin,
                            Millis now) {
  const auto known = streams_.find(stream);
  if (stream.empty() ||
      (known != streams_.end() && known->second.origin_ == origin)) {
    return;
  }
  // A caller may use an id again.
  streams_.erase(stream);
  Add(stream, Stream{origin, now, now, true, false});
  recent_.push_back(stream);
  if (IsMixed(origin.group_)) {
    WriteLater(stream, &streams_[stream], now);
  }
}

void StreamOrigins::Merge(const StreamRecord& record, Millis now) {
  const auto known = streams_.find(record.stream_);
  if (known != streams_.end()) {
    if (known->second.origin_ == record.origin_ ||
        known->second.begun_at_ >= now - record.age_) {
      return;
    }
    streams_.erase(known);
  }
  MergeWritten(record, now);
}

void StreamOrigins::MergeWritten(const StreamRecord& record, Millis now) {
  if (record.stream_.empty() || record.age_ > kStreamLifetime ||
      streams_.count(record.stream_) > 0) {
    return;
  }
  Add(record.stream_,
      Stream{record.origin_, now - record.age_, now, false, true});
}

OriginDecision StreamOrigins::Find(const RequestId& stream,
                                   const GroupId& group,
                                   Millis list_age,
                                   bool is_store_fresh,
                                   Millis now) const {
  OriginDecision decision;
  const auto found = streams_.find(stream);
  if (found != streams_.end()) {
    decision.source_ = OriginSource::kRecorded;
    decision.origin_ = found->second.origin_;
    decision.age_ = now - found->second.begun_at_;
    return decision;
  }
  const auto known = groups_.find(group);
  if (known == groups_.end() || !stored_.has_value() || !is_store_fresh ||
      list_age > kMaxListAge) {
    return decision;
  }
  const SoftwareVersion* only = nullptr;
  for (const auto& [name, version] : known->second.versions_) {
    if (!IsPossible(version, now)) {
      continue;
    }
    if (only != nullptr) {
      return decision;
    }
    only = &name;
  }
  // A log that doesn't name the version takes no writes. What came before it
  // may then be named nowhere.
  if (only != nullptr && IsStored({group, *only})) {
    decision.source_ = OriginSource::kOnlyVersion;
    decision.origin_ = {group, *only};
  }
  return decision;
}

bool StreamOrigins::IsStored(const StreamOrigin& origin) const {
  if (!stored_.has_value()) {
    return false;
  }
  const auto stored = stored_->find(origin.group_);
  return stored != stored_->end() && stored->second.count(origin.version_) > 0;
}

bool StreamOrigins::IsSettled(const StreamOrigin& origin, Millis now) const {
  const auto group = groups_.find(origin.group_);
  if (!IsStored(origin) || group == groups_.end()) {
    return false;
  }
  const auto version = group->second.versions_.find(origin.version_);
  return version != group->second.versions_.end() &&
         version->second.is_listed_ &&
         now - version->second.listed_since_ >= kSettleTime;
}

VersionSets StreamOrigins::PossibleVersions(Millis now) const {
  VersionSets possible;
  for (const auto& [id, group] : groups_) {
    for (const auto& [name, version] : group.versions_) {
      if (IsPossible(version, now)) {
        possible[id].insert(name);
      }
    }
  }
  return possible;
}

VersionSets StreamOrigins::MixedVersions(Millis now) const {
  VersionSets versions;
  for (const auto& [id, group] : groups_) {
    for (const auto& [name, version] : group.versions_) {
      if (group.is_mixed_ &&
          (version.is_listed_ || now - version.last_listed_ <= kTellTime)) {
        versions[id].insert(name);
      }
    }
  }
  return versions;
}

bool StreamOrigins::IsStoreOutdated(Millis now) const {
  return !stored_.has_value() || *stored_ != PossibleVersions(now);
}

std::vector<StreamRecord> StreamOrigins::RecentRecords(Millis now) const {
  std::vector<StreamRecord> records;
  for (auto id = recent_.rbegin(); id != recent_.rend(); ++id) {
    const auto found = streams_.find(*id);
    if (found == streams_.end()) {
      continue;
    }
    const Stream& stream = found->second;
    if (now - stream.begun_at_ > kShareTime || records.size() == kMaxRecent) {
      break;
    }
    records.push_back({*id, stream.origin_, now - stream.begun_at_});
  }
  return records;
}

std::vector<StreamRecord> StreamOrigins::TakeUnwritten(Millis now) {
  std::vector<StreamRecord> records;
  while (!unwritten_.empty() && records.size() < kMaxBatch) {
    const auto found = streams_.find(unwritten_.front());
    if (found != streams_.end()) {
      records.push_back(
          {found->first, found->second.origin_, now - found->second.begun_at_});
    }
    unwritten_.pop_front();
  }
  return records;
}

void StreamOrigins::PutBackUnwritten(const std::vector<StreamRecord>& records) {
  for (auto record = records.rbegin(); record != records.rend(); ++record) {
    unwritten_.push_front(record->stream_);
  }
}

void StreamOrigins::Expire(Millis now) {
  const auto drop_from = [this](std::deque<RequestId>* ids,
                                const auto& is_old) {
    while (!ids->empty()) {
      const auto found = streams_.find(ids->front());
      if (found != streams_.end() && !is_old(found->second)) {
        return;
      }
      ids->pop_front();
    }
  };
  drop_from(&recent_, [now](const Stream& stream) {
    return now - stream.begun_at_ > kShareTime;
  });
  drop_from(&unwritten_, [now](const Stream& stream) {
    return now - stream.unwritten_since_ > kUnwrittenLifetime;
  });
  while (!order_.empty()) {
    const auto found = streams_.find(order_.front());
    if (found != streams_.end()) {
      if (now - found->second.begun_at_ <= kStreamLifetime) {
        break;
      }
      streams_.erase(found);
    }
    order_.pop_front();
  }
  for (auto& [id, group] : groups_) {
    for (auto version = group.versions_.begin();
         version != group.versions_.end();) {
      version = IsPossible(version->second, now)
                    ? std::next(version)
                    : group.versions_.erase(version);
    }
  }
  UpdateMixed(now);
}

}  // namespace bergamotscale::policy
