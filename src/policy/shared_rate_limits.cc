#include "src/policy/shared_rate_limits.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include <xxhash.h>

namespace bergamotscale::policy {
namespace {

constexpr double kMillisPerSecond = 1'000;
// A share accumulates for this long while it is not used, and to at least one
// request.
constexpr Millis kBurstTime = Millis(500);
// Gateways that use a limit below one request a second. Each further request a
// second adds one.
constexpr int kMinHolders = 2;
// A gateway without a share that has not heard of a limit for this long, and
// for kProbeSpacing longer for each gateway ranked before it, may send a
// request to learn whether the limit still holds.
constexpr Millis kProbeAfter = Millis(30'000);
constexpr Millis kProbeSpacing = Millis(4'000);
// For this long, other gateways are told that a limit has ended.
constexpr Millis kEndNoticeTime = Millis(10'000);
// Ends are remembered for this long: a gateway that was frozen or cut off still
// reports the limits that it knew before.
constexpr Millis kEndMemory = Millis(600'000);
// Ages that gateways tell each other are short by the time on the way, so that
// an end would seem newer than a limit that was stated after it.
constexpr Millis kNoticeDelay = Millis(250);

uint64_t Rank(uint64_t upstream, uint64_t member) {
  const uint64_t pair[2] = {upstream, member};
  return XXH3_64bits(pair, sizeof(pair));
}

int MaxHolders(double per_second) {
  constexpr double kMost = 10'000;
  return kMinHolders +
         static_cast<int>(std::floor(std::min(per_second, kMost)));
}

}  // namespace

RateShare ComputeRateShare(double per_second,
                           uint64_t upstream,
                           const GatewayMembers& members,
                           Millis now) {
  RateShare share;
  const int count = members.CountForShares(now);
  share.holders_ = std::min(count, MaxHolders(per_second));
  const uint64_t own = Rank(upstream, members.own());
  const auto ahead =
      std::count_if(members.members().begin(), members.members().end(),
                    [upstream, own](uint64_t member) {
                      return Rank(upstream, member) < own;
                    });
  share.rank_ = static_cast<int>(ahead);
  if (share.rank_ < share.holders_) {
    share.per_second_ = per_second / share.holders_;
  }
  return share;
}

bool SharedRateLimits::OnStatement(const Key& key,
                                   uint64_t upstream,
                                   const RateStatement& statement,
                                   Millis now) {
  std::optional<double> per_second = statement.per_second_;
  if (per_second.has_value()) {
    per_second = std::clamp(*per_second, kMinPerSecond, kMaxPerSecond);
  }
  const auto found = limits_.find(key);
  if (found == limits_.end()) {
    if (!per_second.has_value()) {
      return false;
    }
    Limit& limit = limits_[key];
    limit.upstream_ = upstream;
    limit.statement_ = {per_second, statement.as_of_, statement.from_peer_};
    limit.changed_at_ = limit.tokens_at_ = now;
    return true;
  }
  Limit& limit = found->second;
  if (statement.as_of_ < limit.statement_.as_of_) {
    if (statement.from_peer_ && per_second.has_value() &&
        !limit.statement_.per_second_.has_value()) {
      limit.told_from_ = now;  // this peer missed the end
    }
    return false;
  }
  const bool changed = per_second != limit.statement_.per_second_;
  const bool begins = !limit.statement_.per_second_.has_value();
  limit.statement_ = {per_second, statement.as_of_, statement.from_peer_};
  if (changed) {
    limit.changed_at_ = limit.told_from_ = now;
  }
  if (changed && begins) {
    limit.share_ = RateShare();
    limit.tokens_ = 0;
    limit.tokens_at_ = now;
  }
  return changed;
}

std::vector<SharedRateLimits::Key> SharedRateLimits::UpdateShares(
    const GatewayMembers& members,
    Millis now) {
  std::vector<Key> changed;
  for (auto& [key, limit] : limits_) {
    if (!limit.statement_.per_second_.has_value()) {
      continue;
    }
    const RateShare share = ComputeRateShare(*limit.statement_.per_second_,
                                             limit.upstream_, members, now);
    if (share == limit.share_) {
      continue;
    }
    limit.tokens_ = std::min(TokensAt(limit, now), Burst(share));
    limit.tokens_at_ = now;
    limit.share_ = share;
    changed.push_back(key);
  }
  return changed;
}

void SharedRateLimits::Expire(Millis now) {
  for (auto it = limits_.begin(); it != limits_.end();) {
    const Limit& limit = it->second;
    const bool ended = !limit.statement_.per_second_.has_value() &&
                       now - limit.changed_at_ > kEndMemory;
    it = ended ? limits_.erase(it) : std::next(it);
  }
}

int SharedRateLimits::CountLimited() const {
  return static_cast<int>(
      std::count_if(limits_.begin(), limits_.end(), [](const auto& limit) {
        return limit.second.statement_.per_second_.has_value();
      }));
}

const SharedRateLimits::Limit* SharedRateLimits::FindLimited(
    const Key& key) const {
  const auto found = limits_.find(key);
  return found == limits_.end() ||
                 !found->second.statement_.per_second_.has_value()
             ? nullptr
             : &found->second;
}

bool SharedRateLimits::IsLimited(const Key& key) const {
  return FindLimited(key) != nullptr;
}

double SharedRateLimits::LimitOf(const Key& key) const {
  const Limit* limit = FindLimited(key);
  return limit == nullptr ? 0 : *limit->statement_.per_second_;
}

RateShare SharedRateLimits::ShareOf(const Key& key) const {
  const Limit* limit = FindLimited(key);
  return limit == nullptr ? RateShare() : limit->share_;
}

double SharedRateLimits::Burst(const RateShare& share) {
  if (share.per_second_ <= 0) {
    return 0;
  }
  return std::max(1.0, share.per_second_ *
                           static_cast<double>(kBurstTime.count()) /
                           kMillisPerSecond);
}

double SharedRateLimits::TokensAt(const Limit& limit, Millis now) {
  const double elapsed = static_cast<double>((now - limit.tokens_at_).count());
  return std::min(
      limit.tokens_ + elapsed * limit.share_.per_second_ / kMillisPerSecond,
      Burst(limit.share_));
}

bool SharedRateLimits::Allows(const Key& key, Millis now) const {
  if (limits_.empty()) {
    return true;
  }
  const Limit* limit = FindLimited(key);
  return limit == nullptr || HasToken(*limit, now);
}

bool SharedRateLimits::HasToken(const Limit& limit, Millis now) {
  if (limit.share_.per_second_ > 0) {
    return TokensAt(limit, now) >= 1;
  }
  return limit.share_.holders_ > 0 &&
         now - std::max(limit.statement_.as_of_, limit.tokens_at_) >
             kProbeAfter + kProbeSpacing * limit.share_.rank_;
}

bool SharedRateLimits::TryTake(const Key& key, Millis now) {
  const auto found = limits_.find(key);
  if (found == limits_.end() ||
      !found->second.statement_.per_second_.has_value()) {
    return true;
  }
  Limit& limit = found->second;
  if (!HasToken(limit, now)) {
    return false;
  }
  limit.tokens_ = std::max(0.0, TokensAt(limit, now) - 1);
  limit.tokens_at_ = now;
  return true;
}

void SharedRateLimits::GiveBack(const Key& key, Millis now) {
  const auto found = limits_.find(key);
  if (found == limits_.end()) {
    return;
  }
  Limit& limit = found->second;
  if (limit.share_.per_second_ > 0) {
    limit.tokens_ = std::min(TokensAt(limit, now) + 1, Burst(limit.share_));
    limit.tokens_at_ = now;
  }
}

std::optional<Millis> SharedRateLimits::TimeUntilAllowed(const Key& key,
                                                         Millis now) const {
  const Limit* limit = FindLimited(key);
  if (limit == nullptr) {
    return Millis(0);
  }
  if (limit->share_.per_second_ <= 0) {
    return std::nullopt;
  }
  const double missing = std::max(0.0, 1 - TokensAt(*limit, now));
  return Millis(static_cast<int64_t>(
      std::ceil(missing / limit->share_.per_second_ * kMillisPerSecond)));
}

std::vector<RateNotice> SharedRateLimits::Notices(Millis now) const {
  std::vector<RateNotice> notices;
  for (const auto& [key, limit] : limits_) {
    const RateStatement& statement = limit.statement_;
    const bool is_told = statement.per_second_.has_value() ||
                         now - limit.told_from_ <= kEndNoticeTime;
    if (!statement.from_peer_ && is_told) {
      const Millis margin =
          statement.per_second_.has_value() ? Millis(0) : kNoticeDelay;
      notices.push_back({limit.upstream_, statement.per_second_,
                         now - statement.as_of_ + margin});
    }
  }
  return notices;
}

}  // namespace bergamotscale::policy
