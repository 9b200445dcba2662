#include "src/policy/copy_gate.h"

#include <algorithm>
#include <utility>

namespace bergamotscale::policy {

namespace {

constexpr size_t kMaxProven = 10'000;

}  // namespace

bool CopyGate::Proven(uint64_t digest) const {
  return proven_.count(digest) > 0 || older_proven_.count(digest) > 0;
}

void CopyGate::Prove(uint64_t digest) {
  if (proven_.size() >= kMaxProven) {
    older_proven_ = std::move(proven_);
    proven_.clear();
  }
  proven_.insert(digest);
}

bool CopyGate::Enter(uint64_t digest,
                     const RequestId& id,
                     std::function<void()> go) {
  if (Proven(digest)) {
    return true;
  }
  const auto [found, first] = copies_.try_emplace(digest);
  if (first) {
    found->second.running_ = id;
    return true;
  }
  found->second.waiting_.push_back(Waiter{id, std::move(go)});
  return false;
}

void CopyGate::Leave(uint64_t digest, const RequestId& id, bool completed) {
  if (completed) {
    Prove(digest);
  }
  const auto found = copies_.find(digest);
  if (found == copies_.end()) {
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
  std::deque<Waiter> going;
  if (Proven(digest) || waiting.empty()) {
    going = std::move(waiting);
    copies_.erase(found);
  } else {
    going.push_back(std::move(waiting.front()));
    waiting.pop_front();
    found->second.running_ = going.front().id_;
  }
  for (const Waiter& waiter : going) {
    waiter.go_();
  }
}

}  // namespace bergamotscale::policy
