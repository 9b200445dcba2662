#include "src/policy/quarantine.h"

#include <algorithm>
#include <list>
#include <unordered_map>
#include <utility>

#include "src/policy/prefix_hasher.h"

namespace bergamotscale::policy {

namespace {

constexpr int kCrashesToConvict = 2;
// Of the top tier, and the more of each next one.
constexpr Millis kSuspectDelay = Millis(250);
// For so long a peer's older suspicion doesn't undo a clearance.
constexpr Millis kClearanceLifetime = Millis(30'000);

}  // namespace

struct Quarantine::Impl {
  struct Record {
    uint64_t digest_ = 0;
    int crashes_ = 0;
    Millis expires_;
    uint64_t source_ = 0;
    bool convicted() const { return crashes_ >= kCrashesToConvict; }
  };

  const Record* Find(uint64_t digest, Millis now) const {
    const auto found = by_digest_.find(digest);
    if (found == by_digest_.end() || found->second->expires_ <= now) {
      return nullptr;
    }
    return &*found->second;
  }

  SuspicionRecord Set(const Record& record, Millis now);
  // @return whether a crash at this source is another than the one known.
  bool IsOther(const Record* known, uint64_t source) const {
    return known != nullptr && known->crashes_ == 1 && known->source_ != 0 &&
           source != 0 && known->source_ != source;
  }
  void Forget(std::list<Record>::iterator record) {
    by_digest_.erase(record->digest_);
    records_.erase(record);
  }
  void MakeRoom();
  Millis LifetimeOf(int crashes) const {
    if (crashes == 0) {
      return kClearanceLifetime;
    }
    return crashes >= kCrashesToConvict ? options_.conviction_lifetime_
                                        : options_.suspect_lifetime_;
  }

  QuarantineOptions options_;
  std::list<Record> records_;  // newest first
  std::unordered_map<uint64_t, std::list<Record>::iterator> by_digest_;
};

SuspicionRecord Quarantine::Impl::Set(const Record& record, Millis now) {
  const auto found = by_digest_.find(record.digest_);
  if (found != by_digest_.end()) {
    Forget(found->second);
  }
  MakeRoom();
  records_.push_front(record);
  by_digest_[record.digest_] = records_.begin();
  return SuspicionRecord{record.digest_, record.crashes_, record.convicted(),
                         record.expires_ - now, record.source_};
}

// Drops the oldest record, a convicted one only if there is no other.
void Quarantine::Impl::MakeRoom() {
  if (records_.size() < std::max<size_t>(options_.max_digests_, 1)) {
    return;
  }
  auto oldest =
      std::find_if(records_.rbegin(), records_.rend(),
                   [](const Record& record) { return !record.convicted(); });
  if (oldest == records_.rend()) {
    oldest = records_.rbegin();
  }
  Forget(std::prev(oldest.base()));
}

Millis SuspectDelay(Tier tier) {
  return kSuspectDelay * std::max<int64_t>(tier.value(), 1);
}

uint64_t CrashSourceOf(const InstanceId& sidecar) {
  return DigestOf("crash", sidecar.value());
}

Quarantine::Quarantine(QuarantineOptions options)
    : impl_(std::make_unique<Impl>()) {
  impl_->options_ = options;
}
Quarantine::~Quarantine() = default;
Quarantine::Quarantine(Quarantine&&) noexcept = default;
Quarantine& Quarantine::operator=(Quarantine&&) noexcept = default;

Suspicion Quarantine::Check(uint64_t digest, Millis now) const {
  const Impl::Record* record = impl_->Find(digest, now);
  if (record == nullptr || record->crashes_ == 0) {
    return Suspicion::kClear;
  }
  return record->convicted() ? Suspicion::kConvicted : Suspicion::kSuspect;
}

std::vector<SuspicionRecord> Quarantine::OnCrash(
    const std::vector<RunningDigest>& running,
    Millis now,
    uint64_t source) {
  // Those that were in an earlier crash explain this one.
  const bool explained = std::any_of(
      running.begin(), running.end(),
      [](const RunningDigest& attempt) { return attempt.suspect_; });
  std::vector<SuspicionRecord> changed;
  for (const RunningDigest& attempt : running) {
    const bool convicted = Check(attempt.digest_, now) == Suspicion::kConvicted;
    if (convicted || attempt.suspect_ != explained) {
      continue;
    }
    const bool again =
        impl_->IsOther(impl_->Find(attempt.digest_, now), source);
    const int crashes = explained || again ? kCrashesToConvict : 1;
    const Millis expires = now + impl_->LifetimeOf(crashes);
    changed.push_back(
        impl_->Set({attempt.digest_, crashes, expires, source}, now));
  }
  return changed;
}

std::vector<SuspicionRecord> Quarantine::OnCompleted(
    const RunningDigest& attempt,
    Millis now) {
  const Suspicion known = Check(attempt.digest_, now);
  const bool suspect = attempt.suspect_ || known == Suspicion::kSuspect;
  if (!suspect || known == Suspicion::kConvicted) {
    return {};
  }
  return {impl_->Set({attempt.digest_, 0, now + impl_->LifetimeOf(0)}, now)};
}

bool Quarantine::Merge(const SuspicionRecord& record, Millis now) {
  if (record.expires_in_ <= Millis(0)) {
    return false;
  }
  const Impl::Record* own = impl_->Find(record.digest_, now);
  const bool again = record.crashes_ > 0 && impl_->IsOther(own, record.source_);
  const int crashes = record.convicted_ || again
                          ? kCrashesToConvict
                          : std::clamp(record.crashes_, 0, 1);
  if (own != nullptr && (own->crashes_ == crashes || own->convicted())) {
    return false;
  }
  const bool cleared_here = own != nullptr && own->crashes_ == 0;
  if (cleared_here && crashes == 1) {
    return false;
  }
  if (own == nullptr && crashes == 0) {
    return false;
  }
  const Millis longest = impl_->LifetimeOf(crashes);
  const Millis lifetime =
      again ? longest : std::min(record.expires_in_, longest);
  impl_->Set({record.digest_, crashes, now + lifetime, record.source_}, now);
  return true;
}

std::vector<SuspicionRecord> Quarantine::Records(Millis now,
                                                 size_t limit) const {
  std::vector<SuspicionRecord> records;
  for (const Impl::Record& record : impl_->records_) {
    if (records.size() >= limit) {
      break;
    }
    if (record.expires_ > now) {
      records.push_back({record.digest_, record.crashes_, record.convicted(),
                         record.expires_ - now, record.source_});
    }
  }
  return records;
}

size_t Quarantine::size() const {
  return impl_->records_.size();
}

}  // namespace bergamotscale::policy
