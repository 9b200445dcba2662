#include "src/placement/order_gate.h"

#include <algorithm>
#include <tuple>

namespace bergamotscale::placement {
namespace {

bool SetsRole(const EngineOrder& order) {
  return order.action_ == EngineAction::kSetRole;
}

bool SameSubject(const EngineOrder& a, const EngineOrder& b) {
  if (SetsRole(a) || SetsRole(b)) {
    return SetsRole(a) && SetsRole(b);
  }
  return std::tie(a.model_, a.adapter_) == std::tie(b.model_, b.adapter_);
}

bool Same(const EngineOrder& a, const EngineOrder& b) {
  return SameSubject(a, b) && a.fence_ == b.fence_ && a.action_ == b.action_ &&
         a.version_ == b.version_ && a.role_ == b.role_;
}

}  // namespace

bool OrderGate::Add(const EngineOrder& order) {
  if (newest_.has_value() && order.fence_ < *newest_) {
    return false;
  }
  newest_ = order.fence_;
  waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(),
                                [&order](const EngineOrder& earlier) {
                                  return SameSubject(earlier, order);
                                }),
                 waiting_.end());
  waiting_.push_back(order);
  return true;
}

const EngineOrder* OrderGate::Next() const {
  return waiting_.empty() ? nullptr : &waiting_.front();
}

void OrderGate::Done() {
  waiting_.pop_front();
}

bool OrderGate::IsStale(const EngineOrder& order) const {
  return waiting_.empty() || !Same(waiting_.front(), order);
}

}  // namespace bergamotscale::placement
