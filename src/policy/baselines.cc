#include "src/policy/baselines.h"

namespace bergamotscale::policy {

const char* BaselineName(Baseline baseline) {
  switch (baseline) {
    case Baseline::kRoundRobin:
      return "round_robin";
    case Baseline::kLeastConnections:
      return "least_connections";
    case Baseline::kPushLeastLoaded:
      return "push_least_loaded";
    case Baseline::kPowerOfTwo:
      return "power_of_two";
  }
  return "unknown";
}

BaselineDispatcher::BaselineDispatcher(Baseline baseline, uint64_t seed)
    : baseline_(baseline), rng_(seed) {}

std::optional<int> BaselineDispatcher::Choose(
    const std::vector<UpstreamView>& views,
    const std::vector<int>& own_running) {
  if (baseline_ == Baseline::kRoundRobin) {
    return NextUsable(views);
  }
  if (baseline_ == Baseline::kLeastConnections) {
    return LeastLoaded(views, own_running);
  }
  std::vector<int> reported;
  reported.reserve(views.size());
  for (const UpstreamView& view : views) {
    reported.push_back(view.running_ + view.waiting_);
  }
  if (baseline_ == Baseline::kPushLeastLoaded) {
    return LeastLoaded(views, reported);
  }
  const std::optional<int> first = RandomUsable(views);
  const std::optional<int> second = RandomUsable(views);
  if (!first || !second) {
    return first;
  }
  return reported[*first] <= reported[*second] ? first : second;
}

std::optional<int> BaselineDispatcher::NextUsable(
    const std::vector<UpstreamView>& views) {
  for (size_t i = 0; i < views.size(); ++i) {
    const size_t index = next_++ % views.size();
    if (views[index].usable_) {
      return static_cast<int>(index);
    }
  }
  return std::nullopt;
}

std::optional<int> BaselineDispatcher::RandomUsable(
    const std::vector<UpstreamView>& views) {
  if (views.empty()) {
    return std::nullopt;
  }
  next_ = rng_() % views.size();
  return NextUsable(views);
}

std::optional<int> BaselineDispatcher::LeastLoaded(
    const std::vector<UpstreamView>& views,
    const std::vector<int>& load) {
  std::optional<int> least;
  const size_t start = views.empty() ? 0 : rng_() % views.size();
  for (size_t i = 0; i < views.size(); ++i) {
    const size_t index = (start + i) % views.size();
    if (views[index].usable_ && (!least || load[index] < load[*least])) {
      least = static_cast<int>(index);
    }
  }
  return least;
}

}  // namespace bergamotscale::policy
