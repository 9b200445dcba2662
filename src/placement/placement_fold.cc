#include "src/placement/placement_fold.h"

#include <algorithm>
#include <cstddef>

namespace bergamotscale::placement {
namespace {

constexpr size_t kMaxOrders = 10000;

Millis WallOf(const PlacementRecord& record) {
  return std::visit([](const auto& known) { return known.wall_; }, record);
}

}  // namespace

std::optional<EngineOrder> PlacementFold::Apply(const log::Record& record) {
  refused_.reset();
  const Result<PlacementRecord> decoded = DecodeRecord(record.payload_);
  if (!decoded.ok()) {
    return std::nullopt;
  }
  now_ = std::max(now_, WallOf(decoded.value()));
  first_wall_ = first_wall_.value_or(now_);
  knows_lease_ = knows_lease_ || record.offset_ == LogOffset(0) ||
                 now_ > *first_wall_ + kMaxLeaseTtl;
  if (const auto* order = std::get_if<EngineOrder>(&decoded.value())) {
    return Take(*order);
  }
  if (const auto* request = std::get_if<LeaseRequest>(&decoded.value())) {
    Take(*request, record.offset_);
  } else if (const auto* renewal =
                 std::get_if<LeaseRenewal>(&decoded.value())) {
    Take(*renewal);
  } else if (const auto* release =
                 std::get_if<LeaseRelease>(&decoded.value())) {
    Take(*release);
  }
  return std::nullopt;
}

std::optional<EngineOrder> PlacementFold::Take(const EngineOrder& order) {
  const bool stands = lease_.has_value() && lease_->fence_ == order.fence_;
  if (!stands) {
    refused_ = order;
    return std::nullopt;
  }
  if (order.action_ != EngineAction::kSetRole) {
    orders_.push_back(order);
  }
  while (!orders_.empty() && (orders_.size() > kMaxOrders ||
                              orders_.front().wall_ + kOrderMemory < now_)) {
    orders_.pop_front();
  }
  return order;
}

void PlacementFold::Take(const LeaseRequest& request, LogOffset offset) {
  if (!knows_lease_ || !IsFree(now_)) {
    return;
  }
  lease_ = Lease{Fence(offset.value()), request.lease_, request.holder_,
                 now_ + request.ttl_};
}

void PlacementFold::Take(const LeaseRenewal& renewal) {
  // A holder renews only what it has read as granted, so a higher fence is of
  // a lease that was granted before this reader began.
  if (lease_.has_value() && renewal.fence_ < lease_->fence_) {
    return;
  }
  knows_lease_ = true;
  lease_ = Lease{renewal.fence_, renewal.lease_, renewal.holder_,
                 now_ + renewal.ttl_};
}

void PlacementFold::Take(const LeaseRelease& release) {
  if (lease_.has_value() && lease_->fence_ == release.fence_) {
    lease_.reset();
  }
}

bool PlacementFold::IsFree(Millis wall) const {
  return !lease_.has_value() || lease_->expires_ < std::max(wall, now_);
}

int PlacementFold::LoadsSince(Millis wall) const {
  return static_cast<int>(std::count_if(
      orders_.begin(), orders_.end(), [wall](const EngineOrder& order) {
        return FetchesWeights(order) && order.wall_ >= wall;
      }));
}

}  // namespace bergamotscale::placement
