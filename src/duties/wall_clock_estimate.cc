#include "src/duties/wall_clock_estimate.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <vector>

#include "src/duties/usage_codec.h"

namespace bergamotscale::duties {

void WallClockEstimate::OnPeer(uint64_t member, Millis wall, Millis now) {
  if (wall < Millis(0) || wall > Millis(kMaxTime)) {
    return;
  }
  const Millis offset = wall - now;
  const auto found = members_.find(member);
  if (found == members_.end()) {
    if (members_.size() < kMaxMembers) {
      members_[member] = {offset, offset, now, now};
      UpdateMedian();
    }
    return;
  }
  Member& known = found->second;
  known.last_seen_ = now;
  const bool has_jumped =
      std::max(known.offset_, known.previous_offset_) > offset + kMaxDelay;
  if (has_jumped) {
    known = {offset, offset, now, now};
  } else if (now < known.period_start_ + kFilterTime) {
    known.offset_ = std::max(known.offset_, offset);
  } else {
    const bool is_recent = now < known.period_start_ + kFilterTime * 2;
    known.previous_offset_ = is_recent ? known.offset_ : offset;
    known.offset_ = offset;
    known.period_start_ = now;
  }
  UpdateMedian();
}

void WallClockEstimate::Expire(Millis now) {
  for (auto member = members_.begin(); member != members_.end();) {
    const bool is_silent = member->second.last_seen_ + kLifetime < now;
    member = is_silent ? members_.erase(member) : std::next(member);
  }
  UpdateMedian();
}

Millis WallClockEstimate::Now(Millis now) const {
  return now + median_offset_;
}

void WallClockEstimate::UpdateMedian() {
  if (members_.empty()) {
    return;
  }
  std::vector<Millis> offsets;
  offsets.reserve(members_.size());
  for (const auto& [member, known] : members_) {
    offsets.push_back(std::max(known.offset_, known.previous_offset_));
  }
  // Of an even number, the lower middle one: the mean would be wrong if one of
  // them has jumped.
  const auto middle =
      offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  median_offset_ = *middle;
}

}  // namespace bergamotscale::duties
