// Placement, admission queue and retries of requests that go straight to
// upstreams, simulated against a model of an engine that prefills prompts first
// in, first out.
#include <algorithm>
#include <vector>

#include <doctest/doctest.h>

#include "src/policy/admission_queue.h"
#include "src/policy/instance_health.h"
#include "src/policy/placer.h"
#include "src/policy/prefix_cache_estimate.h"
#include "src/policy/shared_retry_budget.h"

namespace bergamotscale::policy {
namespace {

constexpr uint64_t kEngine = 1;
constexpr uint64_t kOther = 2;

std::vector<SharedPromptPart> Chain(
    std::vector<std::pair<uint64_t, int64_t>> parts) {
  std::vector<SharedPromptPart> chain;
  chain.reserve(parts.size());
  for (const auto& [hash, tokens] : parts) {
    chain.push_back({hash, Tokens(tokens)});
  }
  return chain;
}

TEST_CASE(
    "prefix cache estimate: a part needs all parts before it to be cached") {
  PrefixCacheEstimate estimate;
  estimate.SetCapacity(kEngine, Tokens(1'000'000));
  const auto both = Chain({{10, 2'000}, {11, 4'000}});
  CHECK(estimate.CountUncachedTokens(kEngine, both) == Tokens(6'000));
  estimate.OnSent(kEngine, both);
  CHECK(estimate.CountUncachedTokens(kEngine, both) == Tokens(0));
  CHECK(estimate.CountUncachedTokens(
            kEngine, Chain({{10, 2'000}, {12, 500}})) == Tokens(500));
  CHECK(estimate.CountUncachedTokens(
            kEngine, Chain({{13, 100}, {11, 4'000}})) == Tokens(4'100));
  CHECK(estimate.CountUncachedTokens(kOther, both) == Tokens(6'000));
}

TEST_CASE("prefix cache estimate: the least recently used part is evicted") {
  PrefixCacheEstimate estimate;
  estimate.SetCapacity(kEngine, Tokens(20'000));  // half of it for shared parts
  estimate.OnSent(kEngine, Chain({{1, 4'000}}));
  estimate.OnSent(kEngine, Chain({{2, 4'000}}));
  estimate.OnSent(kEngine, Chain({{1, 4'000}}));
  estimate.OnSent(kEngine, Chain({{3, 4'000}}));
  CHECK(estimate.CountUncachedTokens(kEngine, Chain({{1, 4'000}})) ==
        Tokens(0));
  CHECK(estimate.CountUncachedTokens(kEngine, Chain({{2, 4'000}})) ==
        Tokens(4'000));
}

TEST_CASE(
    "prefix cache estimate: an instance that is gone has no cached part") {
  PrefixCacheEstimate estimate;
  estimate.OnSent(kEngine, Chain({{1, 4'000}}));
  estimate.Forget(kEngine);
  CHECK(estimate.CountUncachedTokens(kEngine, Chain({{1, 4'000}})) ==
        Tokens(4'000));
}

PlacementRequest LongPrompt() {
  PlacementRequest request;
  request.engine_ = true;
  request.shared_ = Chain({{77, 13'000}});
  request.own_tokens_ = Tokens(3'000);
  return request;
}

std::vector<InstanceView> Engines(int count, double uncached_tokens) {
  std::vector<InstanceView> views(static_cast<size_t>(count));
  for (size_t i = 0; i < views.size(); ++i) {
    views[i].id_hash_ = 100 + i;
    views[i].slots_ = 128;
    views[i].uncached_tokens_ = uncached_tokens;
  }
  return views;
}

TEST_CASE(
    "placing: a prompt goes to the instance that caches its shared part") {
  std::vector<InstanceView> views = Engines(9, 13'000);
  views[4].uncached_tokens_ = 0;
  views[4].unread_tokens_ = 12'000;
  CHECK(ChooseInstance(views, LongPrompt(), 3) == 4);
  // Prefilling the part again costs all later requests more than this wait.
  views[4].unread_tokens_ = 60'000;
  CHECK(ChooseInstance(views, LongPrompt(), 3) == 4);
  // A preferred instance is left once its backlog is many times the part.
  views[4].unread_tokens_ = 800'000;
  CHECK(ChooseInstance(views, LongPrompt(), 3) != 4);
}

TEST_CASE("placing: entries without reports choose the same first instance") {
  const std::vector<InstanceView> views = Engines(9, 13'000);
  const int preferred = ChooseInstance(views, LongPrompt(), 0);
  for (uint64_t random = 1; random < 20; ++random) {
    CHECK(ChooseInstance(views, LongPrompt(), random) == preferred);
  }
}

TEST_CASE("placing: an instance that fails or was already tried is avoided") {
  std::vector<InstanceView> views = Engines(2, 0);
  views[0].failure_share_ = 0.5;
  views[1].unread_tokens_ = 10'000;
  CHECK(ChooseInstance(views, LongPrompt(), 0) == 1);
  views[1].avoid_ = true;
  CHECK(ChooseInstance(views, LongPrompt(), 0) == 0);
  views[0].avoid_ = true;
  CHECK(ChooseInstance(views, LongPrompt(), 0) == -1);
}

TEST_CASE(
    "placing: a service's own zone is preferred unless it is more loaded") {
  PlacementRequest request;
  std::vector<InstanceView> views(2);
  views[0].slots_ = views[1].slots_ = 6;
  views[0].same_zone_ = true;
  CHECK(ChooseInstance(views, request, 0) == 0);
  CHECK(ChooseInstance(views, request, 1) == 0);
  views[0].running_ = 3;
  CHECK(ChooseInstance(views, request, 0) == 1);
}

// An engine that prefills prompts first in, first out.
struct PrefillEngine {
  double pending_tokens_ = 0;
  static constexpr double kTokensPerMs = 100;
  void Advance(double ms) {
    pending_tokens_ = std::max(0.0, pending_tokens_ - ms * kTokensPerMs);
  }
};

// Simulates a burst of low-priority long prompts beside short urgent ones.
// @return the share of urgent requests whose prompt was prefilled within 250
// ms.
double SimulateUrgentOnTimeShare(bool with_queue) {
  constexpr int kBurstMs = 4'000;
  constexpr int kLongEveryMs =
      60;  // 8,000 tokens: beyond the engine's prefill speed
  constexpr int kShortEveryMs = 50;
  constexpr double kLongTokens = 8'000;
  constexpr double kShortTokens = 1'000;
  PrefillEngine engine;
  AdmissionQueue queue;
  PrefillLimitParams params;
  params.tightest_target_ = Millis(250);
  int urgent = 0;
  int on_time = 0;
  for (int ms = 0; ms < kBurstMs; ++ms) {
    engine.Advance(1);
    if (ms % kLongEveryMs == 0) {
      queue.Add({2, Millis(ms + 1'000)});
    }
    for (const uint64_t id : queue.GetOrder(Millis(ms))) {
      if (!with_queue ||
          engine.pending_tokens_ <= ComputePrefillLimit(params, kLongTokens)) {
        engine.pending_tokens_ += kLongTokens;
        queue.Remove(id);
      }
    }
    if (ms % kShortEveryMs == 0) {
      ++urgent;
      engine.pending_tokens_ += kShortTokens;
      on_time +=
          engine.pending_tokens_ / PrefillEngine::kTokensPerMs <= 250 ? 1 : 0;
    }
  }
  return static_cast<double>(on_time) / urgent;
}

TEST_CASE(
    "admission queue: a burst of long prompts leaves urgent ones on time") {
  CHECK(SimulateUrgentOnTimeShare(false) <
        0.2);  // the result without the queue
  CHECK(SimulateUrgentOnTimeShare(true) > 0.99);
}

TEST_CASE(
    "admission queue: a short prompt may queue behind more than a long one") {
  PrefillLimitParams params;
  params.tightest_target_ = Millis(250);
  CHECK(ComputePrefillLimit(params, 500) >
        4 * ComputePrefillLimit(params, 8'000));
  params.tightest_target_ = Millis(0);
  CHECK(ComputePrefillLimit(params, 8'000) < 0);
}

TEST_CASE("admission queue: routes decide among equal priorities") {
  AdmissionQueue queue;
  const uint64_t batch = queue.Add({1, Millis(100), 2});
  const uint64_t quick = queue.Add({1, Millis(900), 0});
  CHECK(queue.GetOrder(Millis(0)) == std::vector<uint64_t>{quick, batch});
}

TEST_CASE("admission queue: tier, then due time, then arrival") {
  AdmissionQueue queue;
  const uint64_t later = queue.Add({2, Millis(800)});
  const uint64_t low = queue.Add({2, Millis(100)});
  const uint64_t high = queue.Add({0, Millis(900)});
  const uint64_t equal = queue.Add({2, Millis(800)});
  CHECK(queue.GetOrder(Millis(50)) ==
        std::vector<uint64_t>{high, low, later, equal});
}

TEST_CASE(
    "admission queue: a late request is delayed for a limited time only") {
  AdmissionQueue queue;
  const uint64_t late = queue.Add({1, Millis(100)});
  const uint64_t soon = queue.Add({1, Millis(400)});
  CHECK(queue.GetOrder(Millis(200)) == std::vector<uint64_t>{soon, late});
  const uint64_t much_later = queue.Add({1, Millis(1'500)});
  CHECK(queue.GetOrder(Millis(200)) ==
        std::vector<uint64_t>{soon, late, much_later});
}

TEST_CASE("retry budget: entries together keep to the bounds in any window") {
  constexpr int kEntries = 5;
  const GroupId group("g");
  const RetryBounds bounds{0.2, 54, Millis(10'000)};
  std::vector<SharedRetryBudget> entries(kEntries, SharedRetryBudget(bounds));
  for (SharedRetryBudget& entry : entries) {
    entry.SetMembers(kEntries);
  }
  std::vector<int64_t> retries;
  std::vector<int64_t> requests;
  // Each request attempts two retries.
  for (int64_t ms = 0; ms < 40'000; ms += 50) {
    SharedRetryBudget& entry = entries[static_cast<size_t>(ms / 50 % kEntries)];
    entry.OnRequest(group, Millis(ms));
    requests.push_back(ms);
    for (int i = 0; i < 2; ++i) {
      if (entry.TryRetry(group, Millis(ms))) {
        retries.push_back(ms);
      }
    }
  }
  CHECK(retries.size() > 100);
  const auto in_window = [](const std::vector<int64_t>& times, int64_t start) {
    return std::count_if(times.begin(), times.end(), [start](int64_t time) {
      return time >= start && time < start + 10'000;
    });
  };
  for (int64_t start = 0; start < 30'000; start += 500) {
    CHECK(static_cast<double>(in_window(retries, start)) <=
          0.2 * static_cast<double>(in_window(requests, start)) + 54);
  }
}

TEST_CASE("health: failures count and decay, and a success ends the pause") {
  InstanceHealth health;
  for (int i = 0; i < 5; ++i) {
    health.OnFailure(Millis(1'000));
  }
  CHECK(health.FailureShare(Millis(1'000)) > 0.6);
  CHECK(health.FailureShare(Millis(13'000)) < 0.05);
  health.OnUnreachable(Millis(20'000));
  CHECK(health.IsPaused(Millis(20'100)));
  CHECK_FALSE(health.IsPaused(Millis(20'400)));
  health.OnUnreachable(Millis(20'400));
  CHECK(health.IsPaused(Millis(20'800)));
  health.OnSuccess(Millis(20'800));
  CHECK_FALSE(health.IsPaused(Millis(20'801)));
}

}  // namespace
}  // namespace bergamotscale::policy
