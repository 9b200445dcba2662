#include "src/policy/admission_queue.h"

#include <algorithm>
#include <tuple>

namespace bergamotscale::policy {
namespace {

// The share of the tightest target that queued prefill may take. The rest is
// for the urgent request's own prompt, requests that peers send at the same
// moment, and network latency.
constexpr double kPrefillTargetShare = 0.4;
// Shorter prompts get a limit that is higher in inverse proportion.
constexpr double kShortPromptTokens = 4'000;
// The share of the limit for a prompt that another engine caches.
constexpr double kCachedElsewhereShare = 0.1;

}  // namespace

uint64_t AdmissionQueue::Add(const QueuedRequest& request) {
  const uint64_t id = ++next_;
  waiting_[id] = request;
  return id;
}

void AdmissionQueue::Remove(uint64_t id) {
  waiting_.erase(id);
}

std::vector<uint64_t> AdmissionQueue::GetOrder(Millis now) const {
  using Key = std::tuple<int, int, int64_t, uint64_t>;
  std::vector<Key> keys;
  keys.reserve(waiting_.size());
  for (const auto& [id, request] : waiting_) {
    const Millis due =
        request.due_ <= now ? request.due_ + request.late_delay_ : request.due_;
    keys.emplace_back(request.priority_, request.route_priority_, due.count(),
                      id);
  }
  std::sort(keys.begin(), keys.end());
  std::vector<uint64_t> order;
  order.reserve(keys.size());
  for (const Key& key : keys) {
    order.push_back(std::get<uint64_t>(key));
  }
  return order;
}

double ComputePrefillLimit(const PrefillLimitParams& params,
                           double own_tokens,
                           bool is_cached_elsewhere) {
  if (params.tightest_target_ <= Millis(0)) {
    return -1;
  }
  const double limit = kPrefillTargetShare *
                       static_cast<double>(params.tightest_target_.count()) *
                       params.tokens_per_ms_;
  const double all =
      limit * std::max(1.0, kShortPromptTokens / std::max(own_tokens, 1.0));
  return is_cached_elsewhere ? all * kCachedElsewhereShare : all;
}

}  // namespace bergamotscale::policy
