#include "src/policy/short_prompt_pool.h"

#include <algorithm>
#include <cmath>

namespace bergamotscale::policy {
namespace {

// Shares of the tightest target that the prefill of a short prompt's own part
// and of its shared parts may take, at PrefillSpeed::kInitial: a speed learned
// under load would move routes in and out of the pool. Longer shared parts are
// worth keeping where they are cached.
constexpr double kOwnShare = 0.2;
constexpr double kSharedShare = 0.1;
// Weight of the latest request in the mean of its route.
constexpr double kLatestWeight = 0.05;
// Requests of a pool engine, as a share of its slots. The rest is for arrivals
// that entries don't know of yet.
constexpr double kBatchShare = 0.5;
// Share of its time that a pool engine prefills: with more, prompts that arrive
// at the same moment wait too long for one another.
constexpr double kPrefillShare = 0.8;
// Shorter gaps are left to the batch and prefill shares: the pool has only been
// measured with gaps of 250 ms.
constexpr Millis kMinGapTarget = Millis(200);
// Share of the gap target that prefill may take. The rest is for the decode
// steps of an event.
constexpr double kGapPrefillShare = 0.7;
// Arrivals within a gap may exceed their mean by this many standard deviations:
// a stream of a few seconds has more than ten gaps, and one that is too long
// makes it late.
constexpr double kGapDeviations = 3;
// Size of a prompt in a burst, in tokens: the mean of squares of prompt sizes
// over their mean.
constexpr double kBurstPromptTokens = 2'000;
// Gaps alone reserve at most one in this many engines: long prompts need the
// rest, and where engines always prefill, a larger pool made more of them late
// than it kept in time.
constexpr int kGapEnginesDivisor = 5;
// Time constant of the rate of prompt tokens.
constexpr double kRateTimeMs = 2'000;
constexpr Millis kMinRateTime = Millis(250);
constexpr double kMillisPerSecond = 1'000;
// Without requests of one kind for this long, no engine is reserved.
constexpr Millis kMemory = Millis(5'000);
// The pool shrinks by one engine after this time; it grows at once.
constexpr Millis kShrinkInterval = Millis(500);
// The pool takes at most half of the engines, and none of fewer than this.
constexpr int kMinEngines = 4;

double ToDouble(Tokens tokens) {
  return static_cast<double>(tokens.count());
}

// @return the share of the rate's sum that is left after this time.
double Decay(Millis elapsed) {
  return std::exp(-static_cast<double>(std::max(elapsed, Millis(0)).count()) /
                  kRateTimeMs);
}

bool IsRecent(const std::optional<Millis>& last, Millis now) {
  return last.has_value() && now - *last < kMemory;
}

}  // namespace

int CountEnginesForGap(const PoolDemand& demand) {
  const auto gap_ms = static_cast<double>(demand.gap_target_.count());
  if (demand.gap_target_ < kMinGapTarget || demand.tokens_per_s_ <= 0) {
    return 0;
  }
  const double arriving = demand.tokens_per_s_ * gap_ms / kMillisPerSecond;
  const double room = gap_ms * demand.engine_tokens_per_ms_ * kGapPrefillShare;
  // Solves mean + deviations = room for the square root of the arrivals at one
  // engine.
  const double half = kGapDeviations * std::sqrt(kBurstPromptTokens) / 2;
  const double root = std::sqrt(half * half + std::max(room, 1.0)) - half;
  return std::min(static_cast<int>(std::ceil(arriving / (root * root))),
                  demand.engines_ / kGapEnginesDivisor);
}

bool ShortPromptPool::Classify(const std::string& route,
                               Tokens shared,
                               Tokens own,
                               Millis tightest_target,
                               Millis now) {
  const double limit =
      static_cast<double>(tightest_target.count()) * PrefillSpeed::kInitial;
  const auto [found, is_new] = routes_.try_emplace(route);
  RouteMeans& means = found->second;
  const double weight = is_new ? 1 : kLatestWeight;
  means.shared_ += (ToDouble(shared) - means.shared_) * weight;
  means.own_ += (ToDouble(own) - means.own_) * weight;
  const auto fits = [limit](double own_tokens, double shared_tokens) {
    return own_tokens <= limit * kOwnShare &&
           shared_tokens <= limit * kSharedShare;
  };
  const bool is_short =
      fits(means.own_, means.shared_) && fits(ToDouble(own), ToDouble(shared));
  if (!is_short) {
    last_long_ = now;
    return false;
  }
  if (!IsRecent(last_short_, now)) {
    recent_since_ = now;
  }
  recent_tokens_ = DecayedTokens(now) + ToDouble(own);
  last_short_ = now;
  return true;
}

double ShortPromptPool::DecayedTokens(Millis now) const {
  return recent_tokens_ * Decay(now - last_short_.value_or(now));
}

double ShortPromptPool::TokensPerSecond(Millis now) const {
  // A sum that began lately covers less than the time constant.
  const Millis covered = std::max(now - recent_since_, kMinRateTime);
  return DecayedTokens(now) * kMillisPerSecond /
         (kRateTimeMs * (1 - Decay(covered)));
}

int ShortPromptPool::Update(const PoolDemand& demand, Millis now) {
  const bool both = IsRecent(last_short_, now) && IsRecent(last_long_, now);
  int needed = 0;
  if (both && demand.engines_ >= kMinEngines) {
    const double by_batch =
        demand.running_ / std::max(demand.slots_ * kBatchShare, 1.0);
    const double by_prefill =
        demand.tokens_per_s_ / (std::max(demand.engine_tokens_per_ms_, 1.0) *
                                kMillisPerSecond * kPrefillShare);
    needed =
        std::max(static_cast<int>(std::ceil(std::max(by_batch, by_prefill))),
                 CountEnginesForGap(demand));
    needed = std::clamp(needed, 1, demand.engines_ / 2);
  }
  if (needed == 0 || needed > size_) {
    size_ = needed;
    resized_at_ = now;
  } else if (needed < size_ && now - resized_at_ >= kShrinkInterval) {
    --size_;
    resized_at_ = now;
  }
  return size_;
}

}  // namespace bergamotscale::policy
