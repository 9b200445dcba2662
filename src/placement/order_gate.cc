#include "src/placement/order_gate.h"

#include <algorithm>
#include <tuple>

namespace bergamotscale::placement {
namespace {

bool SetsRole(const EngineOrder& order) {
  return order.action_ == EngineAction::kSetRole;
}

bool HaveSameTarget(const EngineOrder& a, const EngineOrder& b) {
  if (SetsRole(a) || SetsRole(b)) {
    return SetsRole(a) && SetsRole(b);
  }
  return std::tie(a.model_, a.adapter_) == std::tie(b.model_, b.adapter_);
}

bool AreEquivalent(const EngineOrder& a, const EngineOrder& b) {
  return HaveSameTarget(a, b) && a.fence_ == b.fence_ &&
         a.action_ == b.action_ && a.version_ == b.version_ &&
         a.role_ == b.role_;
}

}  // namespace

bool OrderGate::Add(const EngineOrder& order) {
  if (newest_fence_.has_value() && order.fence_ < *newest_fence_) {
    return false;
  }
  newest_fence_ = order.fence_;
  pending_.erase(std::remove_if(pending_.begin(), pending_.end(),
                                [&order](const EngineOrder& earlier) {
                                  return HaveSameTarget(earlier, order);
                                }),
                 pending_.end());
  pending_.push_back(order);
  return true;
}

const EngineOrder* OrderGate::Next() const {
  return pending_.empty() ? nullptr : &pending_.front();
}

void OrderGate::FinishNext() {
  pending_.pop_front();
}

bool OrderGate::IsStale(const EngineOrder& order) const {
  return pending_.empty() || !AreEquivalent(pending_.front(), order);
}

}  // namespace bergamotscale::placement
