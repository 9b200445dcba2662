#include "src/policy/shared_retry_budget.h"

#include <algorithm>

namespace bergamotscale::policy {
namespace {

// The share of the budget that an entry uses. The rest is a margin, because the
// windows of the entries are shifted against one another and retries arrive
// later than they are counted.
constexpr double kUsableShare = 0.8;

void DropBefore(std::deque<Millis>* times, Millis limit) {
  while (!times->empty() && times->front() < limit) {
    times->pop_front();
  }
}

}  // namespace

SharedRetryBudget::SharedRetryBudget(RetryBounds bounds) : bounds_(bounds) {}

void SharedRetryBudget::SetMembers(int members) {
  members_ = std::max(members, 1);
}

void SharedRetryBudget::SetBounds(RetryBounds bounds) {
  bounds_ = bounds;
}

void SharedRetryBudget::DropExpired(Window* window, Millis now) const {
  DropBefore(&window->requests_, now - bounds_.window_);
  DropBefore(&window->retries_, now - bounds_.window_);
}

void SharedRetryBudget::OnRequest(const GroupId& group, Millis now) {
  Window& window = windows_[group];
  DropExpired(&window, now);
  window.requests_.push_back(now);
}

bool SharedRetryBudget::TryRetry(const GroupId& group, Millis now) {
  Window& window = windows_[group];
  DropExpired(&window, now);
  const double allowed =
      kUsableShare *
      (bounds_.ratio_ * static_cast<double>(window.requests_.size()) +
       bounds_.extra_ / members_);
  if (static_cast<double>(window.retries_.size()) + 1 > allowed) {
    return false;
  }
  window.retries_.push_back(now);
  return true;
}

}  // namespace bergamotscale::policy
