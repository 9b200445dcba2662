#include "src/placement/lease_keeper.h"

#include <utility>

namespace bergamotscale::placement {
namespace {

// Renewals, and repeated requests, come this many times in a lease's life.
constexpr int64_t kStepsPerTtl = 3;

}  // namespace

LeaseKeeper::LeaseKeeper(LeaseKeeperOptions options,
                         Clock steady,
                         Clock wall,
                         Append append)
    : options_(std::move(options)),
      steady_(std::move(steady)),
      wall_(std::move(wall)),
      append_(std::move(append)) {}

void LeaseKeeper::Update(const PlacementFold& fold) {
  const Millis now = steady_.Now();
  const std::optional<Lease>& lease = fold.lease();
  const bool ours =
      lease.has_value() && !asked_.empty() && lease->lease_ == asked_;
  if (!ours) {
    held_.reset();
    Ask(fold, now);
    return;
  }
  if (!held_.has_value()) {
    held_ = lease->fence_;
    believed_since_ = asked_at_;
    renewed_at_.reset();
  } else if (lease->expires_ > last_expiry_ && renewed_at_.has_value()) {
    believed_since_ = *renewed_at_;
    renewed_at_.reset();
  }
  last_expiry_ = lease->expires_;
  Renew(now);
}

void LeaseKeeper::Ask(const PlacementFold& fold, Millis now) {
  if (!fold.IsFree(wall_.Now())) {
    free_since_.reset();
    return;
  }
  free_since_ = free_since_.value_or(now);
  const bool waiting =
      !asked_.empty() && now < asked_at_ + options_.ttl_ / kStepsPerTtl;
  if (waiting || now < *free_since_ + options_.ask_delay_) {
    return;
  }
  asked_ = LeaseId(options_.boot_id_ + "/" + std::to_string(++last_request_));
  asked_at_ = now;
  append_(LeaseRequest{asked_, options_.holder_, options_.ttl_, wall_.Now()});
}

void LeaseKeeper::Renew(Millis now) {
  const Millis step = options_.ttl_ / kStepsPerTtl;
  const Millis last = renewed_at_.value_or(believed_since_);
  if (now < last + step) {
    return;
  }
  renewed_at_ = now;
  append_(LeaseRenewal{*held_, asked_, options_.holder_, options_.ttl_,
                       wall_.Now()});
}

std::optional<Fence> LeaseKeeper::fence() const {
  const bool believed =
      held_.has_value() && steady_.Now() < believed_since_ + options_.ttl_;
  return believed ? held_ : std::nullopt;
}

void LeaseKeeper::Release() {
  if (held_.has_value()) {
    append_(LeaseRelease{*held_, wall_.Now()});
    held_.reset();
  }
}

}  // namespace bergamotscale::placement
