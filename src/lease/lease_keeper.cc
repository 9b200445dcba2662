#include "src/lease/lease_keeper.h"

#include <utility>

namespace bergamotscale::lease {
namespace {

// Number of renewals, or of requests for a free lease, within its time to live.
constexpr int64_t kRequestsPerTtl = 3;

}  // namespace

LeaseKeeper::LeaseKeeper(LeaseKeeperOptions options,
                         Clock monotonic,
                         Clock wall,
                         Append append)
    : options_(std::move(options)),
      monotonic_(std::move(monotonic)),
      wall_(std::move(wall)),
      append_(std::move(append)) {}

void LeaseKeeper::Update(const LeaseView& view) {
  const Millis now = monotonic_.Now();
  const std::optional<Lease>& lease = view.lease_;
  const bool ours = lease.has_value() && !requested_lease_.empty() &&
                    lease->lease_ == requested_lease_;
  if (!ours) {
    held_fence_.reset();
    RequestLeaseIfFree(view, now);
    return;
  }
  if (!held_fence_.has_value()) {
    held_fence_ = lease->fence_;
    valid_since_ = requested_at_;
    renewed_at_.reset();
  } else if (lease->expires_ > last_expiry_ && renewed_at_.has_value()) {
    valid_since_ = *renewed_at_;
    renewed_at_.reset();
  }
  last_expiry_ = lease->expires_;
  RenewIfDue(now);
}

void LeaseKeeper::RequestLeaseIfFree(const LeaseView& view, Millis now) {
  if (!view.is_free_) {
    free_since_.reset();
    return;
  }
  free_since_ = free_since_.value_or(now);
  const bool request_pending =
      !requested_lease_.empty() &&
      now < requested_at_ + options_.ttl_ / kRequestsPerTtl;
  if (request_pending || now < *free_since_ + options_.request_delay_) {
    return;
  }
  requested_lease_ =
      LeaseId(options_.boot_id_ + "/" + std::to_string(++last_request_number_));
  requested_at_ = now;
  append_(LeaseRequest{requested_lease_, options_.holder_, options_.ttl_,
                       wall_.Now()});
}

void LeaseKeeper::RenewIfDue(Millis now) {
  const Millis interval = options_.ttl_ / kRequestsPerTtl;
  const Millis last = renewed_at_.value_or(valid_since_);
  if (now < last + interval) {
    return;
  }
  renewed_at_ = now;
  append_(LeaseRenewal{*held_fence_, requested_lease_, options_.holder_,
                       options_.ttl_, wall_.Now()});
}

std::optional<Fence> LeaseKeeper::fence() const {
  const bool valid = held_fence_.has_value() &&
                     monotonic_.Now() < valid_since_ + options_.ttl_;
  return valid ? held_fence_ : std::nullopt;
}

void LeaseKeeper::Release() {
  if (held_fence_.has_value()) {
    append_(LeaseRelease{*held_fence_, wall_.Now()});
    held_fence_.reset();
  }
}

}  // namespace bergamotscale::lease
