#include "src/policy/placer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include <xxhash.h>

namespace bergamotscale::policy {
namespace {

// Waits as shares of the target of a request: affinity is full up to the first,
// minimal from the second on, and linear in between.
constexpr double kFullAffinityUntil = 0.5;
constexpr double kMinAffinityAt = 2.0;
// Above 0, so that requests that have waited long still prefer the same next
// instance.
constexpr double kMinAffinity = 0.005;

// The rendezvous weight of an instance for a shared part.
uint64_t RendezvousWeight(uint64_t shared_hash, uint64_t id_hash) {
  const uint64_t pair[2] = {shared_hash, id_hash};
  return XXH3_64bits(pair, sizeof(pair));
}

// @return for each instance, its rendezvous rank for the shared part, from 0.
std::vector<int> RendezvousRanks(const std::vector<InstanceView>& views,
                                 uint64_t shared_hash) {
  std::vector<std::pair<uint64_t, size_t>> weights;
  weights.reserve(views.size());
  for (size_t i = 0; i < views.size(); ++i) {
    weights.emplace_back(RendezvousWeight(shared_hash, views[i].id_hash_), i);
  }
  std::sort(weights.rbegin(), weights.rend());
  std::vector<int> ranks(views.size());
  for (size_t rank = 0; rank < weights.size(); ++rank) {
    ranks[weights[rank].second] = static_cast<int>(rank);
  }
  return ranks;
}

// For services, a request beyond the slots waits for a whole other request; for
// engines, running requests only slow the batch.
double QueueCost(const InstanceView& view,
                 const PlacementRequest& request,
                 const PlacerOptions& options) {
  if (!request.engine_) {
    const double load =
        static_cast<double>(view.running_) / std::max(view.slots_, 1);
    constexpr double kFullTokens = 1'000;
    constexpr double kOtherZoneTokens = 100;
    return load * kFullTokens + (view.same_zone_ ? 0 : kOtherZoneTokens);
  }
  const double over = std::max(0, view.running_ - view.slots_);
  constexpr double kQueuedTokens = 500;
  return view.unread_tokens_ + view.running_ * options.running_tokens_ +
         over * kQueuedTokens;
}

// Instances further down the rendezvous ranking cost more, so that entries
// choose the same instance before they have received one another's choices.
double PrefillCost(const InstanceView& view,
                   int preference_rank,
                   const PlacementRequest& request,
                   const PlacerOptions& options) {
  return view.uncached_tokens_ * options.prefill_weight_ *
         (1 + preference_rank * options.rank_penalty_) * request.patience_;
}

// @return a random share of the tokens that may have been sent there unseen.
double DrawUnseen(const InstanceView& view, uint64_t random) {
  if (view.unseen_tokens_ <= 0) {
    return 0;
  }
  constexpr int kUnitBits = 53;
  constexpr int kHashBits = 64;
  const uint64_t bits = RendezvousWeight(random, view.id_hash_);
  return view.unseen_tokens_ *
         std::ldexp(static_cast<double>(bits >> (kHashBits - kUnitBits)),
                    -kUnitBits);
}

// @return two random ones of the views that are not avoided; none if there are
// no more than two.
std::vector<size_t> DrawTwo(const std::vector<InstanceView>& views,
                            uint64_t random) {
  std::vector<size_t> usable;
  for (size_t i = 0; i < views.size(); ++i) {
    if (!views[i].avoid_) {
      usable.push_back(i);
    }
  }
  constexpr size_t kDrawn = 2;
  if (usable.size() <= kDrawn) {
    return {};
  }
  constexpr int kHalfBits = 32;
  const size_t first = random % usable.size();
  const size_t drawn = usable[first];
  usable.erase(usable.begin() + static_cast<std::ptrdiff_t>(first));
  return {drawn, usable[(random >> kHalfBits) % usable.size()]};
}

}  // namespace

Tokens PlacementRequest::SharedTokens() const {
  Tokens sum;
  for (const SharedPromptPart& part : shared_) {
    sum += part.tokens_;
  }
  return sum;
}

double ComputeAffinity(Millis waited, Millis target) {
  if (target <= Millis(0)) {
    return kMinAffinity;
  }
  const double part =
      static_cast<double>(waited.count()) / static_cast<double>(target.count());
  const double left =
      (kMinAffinityAt - part) / (kMinAffinityAt - kFullAffinityUntil);
  return std::clamp(left, kMinAffinity, 1.0);
}

int ChooseInstance(const std::vector<InstanceView>& views,
                   const PlacementRequest& request,
                   uint64_t random,
                   const PlacerOptions& options) {
  const std::vector<size_t> drawn =
      request.short_prompt_ ? DrawTwo(views, random) : std::vector<size_t>();
  int best = -1;
  double best_cost = std::numeric_limits<double>::max();
  const std::vector<int> ranks =
      request.shared_.empty()
          ? std::vector<int>(views.size())
          : RendezvousRanks(views, request.shared_.back().prefix_hash_);
  for (size_t step = 0; step < views.size(); ++step) {
    const size_t i = (step + random) % views.size();
    const InstanceView& view = views[i];
    const bool is_candidate =
        drawn.empty() || i == drawn.front() || i == drawn.back();
    if (view.avoid_ || !is_candidate) {
      continue;
    }
    const double tokens = QueueCost(view, request, options) +
                          PrefillCost(view, ranks[i], request, options) +
                          DrawUnseen(view, random);
    const double cost =
        tokens / view.speed_ + view.failure_share_ * options.failure_tokens_;
    if (cost < best_cost) {
      best_cost = cost;
      best = static_cast<int>(i);
    }
  }
  return best;
}

bool IsCachedElsewhere(const std::vector<InstanceView>& views, int chosen) {
  const double uncached = views[static_cast<size_t>(chosen)].uncached_tokens_;
  return std::any_of(
      views.begin(), views.end(), [uncached](const InstanceView& view) {
        return !view.avoid_ && view.uncached_tokens_ * 2 < uncached;
      });
}

}  // namespace bergamotscale::policy
