#include "src/placement/placement_fold.h"

#include <algorithm>
#include <cstddef>

namespace bergamotscale::placement {
namespace {

constexpr size_t kMaxOrders = 10000;

Millis WallTimeOf(const PlacementRecord& record) {
  return std::visit([](const auto& known) { return known.wall_; }, record);
}

}  // namespace

std::optional<EngineOrder> PlacementFold::Apply(const log::Record& record) {
  refused_.reset();
  const Result<PlacementRecord> decoded = DecodeRecord(record.payload_);
  if (!decoded.ok()) {
    return std::nullopt;
  }
  now_ = std::max(now_, WallTimeOf(decoded.value()));
  first_wall_ = first_wall_.value_or(now_);
  is_lease_known_ = is_lease_known_ || record.offset_ == LogOffset(0) ||
                    now_ > *first_wall_ + kMaxLeaseTtl;
  if (const auto* order = std::get_if<EngineOrder>(&decoded.value())) {
    return HandleRecord(*order);
  }
  if (const auto* request =
          std::get_if<lease::LeaseRequest>(&decoded.value())) {
    HandleRecord(*request, record.offset_);
  } else if (const auto* renewal =
                 std::get_if<lease::LeaseRenewal>(&decoded.value())) {
    HandleRecord(*renewal);
  } else if (const auto* release =
                 std::get_if<lease::LeaseRelease>(&decoded.value())) {
    HandleRecord(*release);
  }
  return std::nullopt;
}

std::optional<EngineOrder> PlacementFold::HandleRecord(
    const EngineOrder& order) {
  const bool is_valid = lease_.has_value() && lease_->fence_ == order.fence_;
  if (!is_valid) {
    refused_ = order;
    return std::nullopt;
  }
  if (order.action_ != EngineAction::kSetRole) {
    orders_.push_back(order);
  }
  while (!orders_.empty() && (orders_.size() > kMaxOrders ||
                              orders_.front().wall_ + kOrderRetention < now_)) {
    orders_.pop_front();
  }
  return order;
}

void PlacementFold::HandleRecord(const lease::LeaseRequest& request,
                                 LogOffset offset) {
  if (!is_lease_known_ || !IsLeaseFree(now_)) {
    return;
  }
  lease_ = lease::Lease{lease::Fence(offset.value()), request.lease_,
                        request.holder_, now_ + request.ttl_};
}

void PlacementFold::HandleRecord(const lease::LeaseRenewal& renewal) {
  // A holder renews only a lease that it has read as granted, so a higher fence
  // belongs to a lease granted before this reader started.
  if (lease_.has_value() && renewal.fence_ < lease_->fence_) {
    return;
  }
  is_lease_known_ = true;
  lease_ = lease::Lease{renewal.fence_, renewal.lease_, renewal.holder_,
                        now_ + renewal.ttl_};
}

void PlacementFold::HandleRecord(const lease::LeaseRelease& release) {
  if (lease_.has_value() && lease_->fence_ == release.fence_) {
    lease_.reset();
  }
}

bool PlacementFold::IsLeaseFree(Millis wall) const {
  return !lease_.has_value() || lease_->expires_ < std::max(wall, now_);
}

lease::LeaseView PlacementFold::ViewLease(Millis wall) const {
  return {lease_, IsLeaseFree(wall)};
}

int PlacementFold::CountLoadsSince(Millis wall) const {
  return static_cast<int>(std::count_if(
      orders_.begin(), orders_.end(), [wall](const EngineOrder& order) {
        return FetchesWeights(order) && order.wall_ >= wall;
      }));
}

}  // namespace bergamotscale::placement
