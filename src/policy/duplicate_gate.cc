#include "src/policy/duplicate_gate.h"

#include <algorithm>
#include <utility>

namespace bergamotscale::policy {

namespace {

constexpr size_t kMaxCompleted = 10'000;

}  // namespace

bool DuplicateGate::HasCompleted(uint64_t digest) const {
  return completed_.count(digest) > 0 || older_completed_.count(digest) > 0;
}

void DuplicateGate::MarkCompleted(uint64_t digest) {
  if (completed_.size() >= kMaxCompleted) {
    older_completed_ = std::move(completed_);
    completed_.clear();
  }
  completed_.insert(digest);
}

bool DuplicateGate::Enter(uint64_t digest,
                          const RequestId& id,
                          std::function<void()> start) {
  if (HasCompleted(digest)) {
    return true;
  }
  const auto [found, first] = duplicates_.try_emplace(digest);
  if (first) {
    found->second.running_ = id;
    return true;
  }
  found->second.waiting_.push_back(Waiter{id, std::move(start)});
  return false;
}

void DuplicateGate::Leave(uint64_t digest,
                          const RequestId& id,
                          bool completed) {
  if (completed) {
    MarkCompleted(digest);
  }
  const auto found = duplicates_.find(digest);
  if (found == duplicates_.end()) {
    return;
  }
  std::deque<Waiter>& waiting = found->second.waiting_;
  if (!(found->second.running_ == id)) {
    const auto own =
        std::find_if(waiting.begin(), waiting.end(),
                     [&id](const Waiter& each) { return each.id_ == id; });
    if (own != waiting.end()) {
      waiting.erase(own);
    }
    return;
  }
  std::deque<Waiter> starting;
  if (HasCompleted(digest) || waiting.empty()) {
    starting = std::move(waiting);
    duplicates_.erase(found);
  } else {
    starting.push_back(std::move(waiting.front()));
    waiting.pop_front();
    found->second.running_ = starting.front().id_;
  }
  for (const Waiter& waiter : starting) {
    waiter.start_();
  }
}

}  // namespace bergamotscale::policy
