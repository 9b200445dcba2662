#include "src/policy/part_quarantine.h"

#include <algorithm>
#include <iterator>
#include <list>
#include <unordered_set>
#include <utility>

namespace bergamotscale::policy {
namespace {

using Parts = std::vector<uint64_t>;

constexpr int kCrashesToBlock = 2;
// Peers are told for this long that a part was answered.
constexpr Millis kClearanceRetention = Millis(5'000);
// Further parts of a request are not suspected, which bounds a record.
constexpr size_t kMaxSuspectParts = 16;

bool Contains(const Parts& parts, uint64_t part) {
  return std::binary_search(parts.begin(), parts.end(), part);
}

Parts Sorted(Parts parts) {
  std::sort(parts.begin(), parts.end());
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  return parts;
}

Parts Intersect(const Parts& a, const Parts& b) {
  Parts both;
  std::set_intersection(a.begin(), a.end(), b.begin(), b.end(),
                        std::back_inserter(both));
  return both;
}

// @return the parts that explain the crashes of both; all of them if none does.
Parts Narrow(const Parts& known, const Parts& further) {
  Parts parts = Intersect(known, further);
  if (parts.empty()) {
    std::set_union(known.begin(), known.end(), further.begin(), further.end(),
                   std::back_inserter(parts));
  }
  return parts;
}

// @return whether all of `few` are in `many`.
bool Includes(const Parts& many, const Parts& few) {
  return std::includes(many.begin(), many.end(), few.begin(), few.end());
}

}  // namespace

bool SuspectParts::is_blocked() const {
  return crashes_ >= kCrashesToBlock;
}

struct PartQuarantine::Impl {
  struct Record {
    Parts parts_;  // sorted
    int crashes_ = 0;
    Millis since_;
    Millis expires_;
  };

  bool WasAnswered(uint64_t part) const {
    return answered_.count(part) > 0 || answered_before_.count(part) > 0;
  }

  Parts RemoveAnswered(const Parts& parts) const {
    Parts left;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(left),
                 [this](uint64_t part) { return !WasAnswered(part); });
    return left;
  }

  void MarkAnswered(uint64_t part, Millis now) {
    if (now - answered_since_ >= options_.answered_retention_ ||
        answered_.size() >= options_.max_answered_) {
      answered_before_ = std::exchange(answered_, {});
      answered_since_ = now;
    }
    answered_.insert(part);
  }

  Millis RetentionOf(int crashes) const {
    if (crashes == 0) {
      return kClearanceRetention;
    }
    return crashes >= kCrashesToBlock ? options_.block_retention_
                                      : options_.suspect_retention_;
  }

  void Add(Parts parts, int crashes, Millis retention, Millis now) {
    records_.push_front({std::move(parts), crashes, now, now + retention});
    if (records_.size() > options_.max_suspects_) {
      records_.pop_back();
    }
    if (on_change_) {
      on_change_(Export(records_.front(), now));
    }
  }

  // Removes a part from all suspects.
  // @return whether it was among them.
  bool Clear(uint64_t part) {
    bool was_suspect = false;
    for (auto record = records_.begin(); record != records_.end();) {
      if (record->crashes_ > 0 && Contains(record->parts_, part)) {
        was_suspect = true;
        record->parts_.erase(
            std::find(record->parts_.begin(), record->parts_.end(), part));
      }
      record =
          record->parts_.empty() ? records_.erase(record) : std::next(record);
    }
    return was_suspect;
  }

  bool TellsAnswered(uint64_t part, Millis now) const {
    return std::any_of(records_.begin(), records_.end(),
                       [&](const Record& record) {
                         return record.crashes_ == 0 && record.expires_ > now &&
                                Contains(record.parts_, part);
                       });
  }

  static SuspectParts Export(const Record& record, Millis now) {
    return {record.parts_, record.crashes_, record.expires_ - now};
  }

  PartQuarantineOptions options_;
  std::function<void(const SuspectParts&)> on_change_;
  std::list<Record> records_;  // newest first
  // Two generations, so that old parts are forgotten at no cost.
  std::unordered_set<uint64_t> answered_;
  std::unordered_set<uint64_t> answered_before_;
  Millis answered_since_;
};

PartQuarantine::PartQuarantine(PartQuarantineOptions options)
    : impl_(std::make_unique<Impl>()) {
  impl_->options_ = options;
}

PartQuarantine::~PartQuarantine() = default;

void PartQuarantine::SetChangeHook(
    std::function<void(const SuspectParts&)> on_change) {
  impl_->on_change_ = std::move(on_change);
}

bool PartQuarantine::IsBlocked(const std::vector<uint64_t>& parts,
                               Millis now) const {
  if (impl_->records_.empty() || parts.empty()) {
    return false;
  }
  const Parts sorted = Sorted(parts);
  return std::any_of(impl_->records_.begin(), impl_->records_.end(),
                     [&](const Impl::Record& record) {
                       return record.crashes_ >= kCrashesToBlock &&
                              record.expires_ > now &&
                              Includes(sorted, record.parts_);
                     });
}

bool PartQuarantine::WereAnswered(const std::vector<uint64_t>& parts) const {
  return std::all_of(parts.begin(), parts.end(), [this](uint64_t part) {
    return impl_->WasAnswered(part);
  });
}

void PartQuarantine::OnCrash(const std::vector<uint64_t>& parts,
                             Millis sent_at,
                             Millis now) {
  Parts suspects = impl_->RemoveAnswered(Sorted(parts));
  if (suspects.empty()) {
    return;
  }
  if (suspects.size() > kMaxSuspectParts) {
    suspects.resize(kMaxSuspectParts);
  }
  bool is_explained = false;
  Parts blocked;
  for (auto record = impl_->records_.begin();
       record != impl_->records_.end();) {
    const Parts both = Intersect(suspects, record->parts_);
    if (record->crashes_ == 0 || record->expires_ <= now || both.empty()) {
      ++record;
      continue;
    }
    is_explained = true;
    const bool is_news =
        sent_at > record->since_ && (record->crashes_ < kCrashesToBlock ||
                                     both.size() < record->parts_.size());
    if (is_news) {
      blocked = Narrow(blocked, both);
    }
    record = is_news ? impl_->records_.erase(record) : std::next(record);
  }
  if (!blocked.empty()) {
    impl_->Add(blocked, kCrashesToBlock, impl_->RetentionOf(kCrashesToBlock),
               now);
  } else if (!is_explained) {
    impl_->Add(suspects, 1, impl_->RetentionOf(1), now);
  }
}

void PartQuarantine::OnAnswered(const std::vector<uint64_t>& parts,
                                Millis now) {
  for (const uint64_t part : parts) {
    impl_->MarkAnswered(part, now);
    if (impl_->Clear(part)) {
      impl_->Add({part}, 0, impl_->RetentionOf(0), now);
    }
  }
}

void PartQuarantine::Merge(const SuspectParts& reported, Millis now) {
  if (reported.expires_in_ <= Millis(0) ||
      reported.parts_.size() > kMaxSuspectParts) {
    return;
  }
  if (reported.crashes_ <= 0) {
    for (const uint64_t part : reported.parts_) {
      impl_->MarkAnswered(part, now);
      impl_->Clear(part);
    }
    return;
  }
  const Parts parts = Sorted(reported.parts_);
  for (const uint64_t part : parts) {
    // The peer learns of the answer from this record.
    if (impl_->WasAnswered(part) && !impl_->TellsAnswered(part, now)) {
      impl_->Add({part}, 0, impl_->RetentionOf(0), now);
    }
  }
  const Parts suspects = impl_->RemoveAnswered(parts);
  const int crashes = std::min(reported.crashes_, kCrashesToBlock);
  const bool is_known = std::any_of(
      impl_->records_.begin(), impl_->records_.end(),
      [&](const Impl::Record& record) {
        return record.crashes_ >= crashes && record.expires_ > now &&
               Includes(suspects, record.parts_);
      });
  if (suspects.empty() || is_known) {
    return;
  }
  impl_->records_.remove_if([&](const Impl::Record& record) {
    return record.crashes_ > 0 && record.crashes_ <= crashes &&
           Includes(record.parts_, suspects);
  });
  impl_->Add(suspects, crashes,
             std::min(reported.expires_in_, impl_->RetentionOf(crashes)), now);
}

std::vector<SuspectParts> PartQuarantine::Suspects(Millis now,
                                                   size_t limit) const {
  std::vector<SuspectParts> suspects;
  for (const Impl::Record& record : impl_->records_) {
    if (suspects.size() >= limit) {
      break;
    }
    if (record.expires_ > now) {
      suspects.push_back(Impl::Export(record, now));
    }
  }
  return suspects;
}

}  // namespace bergamotscale::policy
