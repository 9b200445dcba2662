#include "src/policy/quarantine.h"

#include <algorithm>
#include <list>
#include <unordered_map>
#include <utility>

#include "src/policy/prefix_hasher.h"

namespace bergamotscale::policy {

namespace {

constexpr int kCrashesToBlock = 2;
// The delay of the top tier, and the increment for each lower tier.
constexpr Millis kSuspectDelayPerTier = Millis(250);
// For this time, an older suspect record of a peer doesn't undo a clearance.
constexpr Millis kClearanceRetention = Millis(30'000);

}  // namespace

struct Quarantine::Impl {
  struct Record {
    uint64_t digest_ = 0;
    int crashes_ = 0;
    Millis expires_;
    uint64_t source_ = 0;
    bool blocked() const { return crashes_ >= kCrashesToBlock; }
  };

  const Record* Find(uint64_t digest, Millis now) const {
    const auto found = by_digest_.find(digest);
    if (found == by_digest_.end() || found->second->expires_ <= now) {
      return nullptr;
    }
    return &*found->second;
  }

  CrashRecord Set(const Record& record, Millis now);
  // @return whether a crash at this source is a second one for the digest.
  bool IsSecondCrash(const Record* known, uint64_t source) const {
    return known != nullptr && known->crashes_ == 1 && known->source_ != 0 &&
           source != 0 && known->source_ != source;
  }
  void Erase(std::list<Record>::iterator record) {
    by_digest_.erase(record->digest_);
    records_.erase(record);
  }
  void EvictIfFull();
  Millis RetentionOf(int crashes) const {
    if (crashes == 0) {
      return kClearanceRetention;
    }
    return crashes >= kCrashesToBlock ? options_.block_retention_
                                      : options_.suspect_retention_;
  }

  QuarantineOptions options_;
  std::list<Record> records_;  // newest first
  std::unordered_map<uint64_t, std::list<Record>::iterator> by_digest_;
};

CrashRecord Quarantine::Impl::Set(const Record& record, Millis now) {
  const auto found = by_digest_.find(record.digest_);
  if (found != by_digest_.end()) {
    Erase(found->second);
  }
  EvictIfFull();
  records_.push_front(record);
  by_digest_[record.digest_] = records_.begin();
  return CrashRecord{record.digest_, record.crashes_, record.blocked(),
                     record.expires_ - now, record.source_};
}

// Evicts the oldest record if full; one of a blocked digest only if there is no
// other.
void Quarantine::Impl::EvictIfFull() {
  if (records_.size() < std::max<size_t>(options_.max_digests_, 1)) {
    return;
  }
  auto oldest =
      std::find_if(records_.rbegin(), records_.rend(),
                   [](const Record& record) { return !record.blocked(); });
  if (oldest == records_.rend()) {
    oldest = records_.rbegin();
  }
  Erase(std::prev(oldest.base()));
}

Millis GetSuspectRetryDelay(Tier tier) {
  return kSuspectDelayPerTier * std::max<int64_t>(tier.value(), 1);
}

uint64_t ComputeCrashSourceId(const InstanceId& sidecar) {
  return ComputeDigest("crash", sidecar.value());
}

Quarantine::Quarantine(QuarantineOptions options)
    : impl_(std::make_unique<Impl>()) {
  impl_->options_ = options;
}
Quarantine::~Quarantine() = default;
Quarantine::Quarantine(Quarantine&&) noexcept = default;
Quarantine& Quarantine::operator=(Quarantine&&) noexcept = default;

CrashStatus Quarantine::Check(uint64_t digest, Millis now) const {
  const Impl::Record* record = impl_->Find(digest, now);
  if (record == nullptr || record->crashes_ == 0) {
    return CrashStatus::kClear;
  }
  return record->blocked() ? CrashStatus::kBlocked : CrashStatus::kSuspect;
}

std::vector<CrashRecord> Quarantine::OnCrash(
    const std::vector<RunningAttempt>& running,
    Millis now,
    uint64_t source) {
  // Suspects from an earlier crash are taken to have caused this one.
  const bool caused_by_suspect = std::any_of(
      running.begin(), running.end(),
      [](const RunningAttempt& attempt) { return attempt.suspect_; });
  std::vector<CrashRecord> changed;
  for (const RunningAttempt& attempt : running) {
    const bool blocked = Check(attempt.digest_, now) == CrashStatus::kBlocked;
    if (blocked || attempt.suspect_ != caused_by_suspect) {
      continue;
    }
    const bool is_second_crash =
        impl_->IsSecondCrash(impl_->Find(attempt.digest_, now), source);
    const int crashes =
        caused_by_suspect || is_second_crash ? kCrashesToBlock : 1;
    const Millis expires = now + impl_->RetentionOf(crashes);
    changed.push_back(
        impl_->Set({attempt.digest_, crashes, expires, source}, now));
  }
  return changed;
}

std::vector<CrashRecord> Quarantine::OnCompleted(const RunningAttempt& attempt,
                                                 Millis now) {
  const CrashStatus known = Check(attempt.digest_, now);
  const bool suspect = attempt.suspect_ || known == CrashStatus::kSuspect;
  if (!suspect || known == CrashStatus::kBlocked) {
    return {};
  }
  return {impl_->Set({attempt.digest_, 0, now + impl_->RetentionOf(0)}, now)};
}

bool Quarantine::Merge(const CrashRecord& record, Millis now) {
  if (record.expires_in_ <= Millis(0)) {
    return false;
  }
  const Impl::Record* own = impl_->Find(record.digest_, now);
  const bool is_second_crash =
      record.crashes_ > 0 && impl_->IsSecondCrash(own, record.source_);
  const int crashes = record.blocked_ || is_second_crash
                          ? kCrashesToBlock
                          : std::clamp(record.crashes_, 0, 1);
  if (own != nullptr && (own->crashes_ == crashes || own->blocked())) {
    return false;
  }
  const bool cleared_here = own != nullptr && own->crashes_ == 0;
  if (cleared_here && crashes == 1) {
    return false;
  }
  if (own == nullptr && crashes == 0) {
    return false;
  }
  const Millis max_retention = impl_->RetentionOf(crashes);
  const Millis retention = is_second_crash
                               ? max_retention
                               : std::min(record.expires_in_, max_retention);
  impl_->Set({record.digest_, crashes, now + retention, record.source_}, now);
  return true;
}

std::vector<CrashRecord> Quarantine::Records(Millis now, size_t limit) const {
  std::vector<CrashRecord> records;
  for (const Impl::Record& record : impl_->records_) {
    if (records.size() >= limit) {
      break;
    }
    if (record.expires_ > now) {
      records.push_back({record.digest_, record.crashes_, record.blocked(),
                         record.expires_ - now, record.source_});
    }
  }
  return records;
}

size_t Quarantine::size() const {
  return impl_->records_.size();
}

}  // namespace bergamotscale::policy
