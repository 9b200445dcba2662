#include "src/policy/admission.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace bergamotscale::policy {

namespace {

constexpr double kMillisPerSecond = 1000;
constexpr double kDemandDecayMillis = 2000;
constexpr double kMinShare = 0.02;
constexpr Millis kMinRetryAfter = Millis(1000);
constexpr Millis kNoUpstreamRetryAfter = Millis(2000);
// Waits from here on mean that no upstream is usable.
constexpr Millis kUnusableWait = Millis(1'000'000'000);
// How much of its time to the first token a request may be expected to wait.
// A wait counts only own and higher tiers, so lower tiers are refused first.
constexpr double kPatience = 0.75;

// Requests that a workspace may still send.
struct Bucket {
  void Refill(Millis now) {
    const double since = static_cast<double>((now - refilled_).count());
    const double rate = rate_ * share_ / kMillisPerSecond;
    level_ = std::min(Capacity(), level_ + rate * std::max(since, 0.0));
    demand_ *= std::exp(-std::max(since, 0.0) / kDemandDecayMillis);
    refilled_ = now;
  }
  double Capacity() const { return std::max(1.0, burst_ * share_); }

  double rate_ = 0;  // requests per second
  double burst_ = 0;
  double share_ = 1;
  double level_ = 0;
  double demand_ = 0;  // requests, decaying
  Millis refilled_;
};

}  // namespace

struct Admission::Impl {
  AdmissionDecision CheckLoad(const AdmissionRequest& request) const;

  std::unordered_map<WorkspaceId, Bucket> buckets_;
};

AdmissionDecision Admission::Impl::CheckLoad(
    const AdmissionRequest& request) const {
  if (request.expected_wait_ >= kUnusableWait) {
    return {ErrorCode::kNoUpstream, kNoUpstreamRetryAfter};
  }
  const Millis needed = request.expected_wait_ + request.expected_run_;
  if (needed > request.deadline_left_) {
    return {ErrorCode::kDeadlineUnreachable,
            std::max(kMinRetryAfter, needed - request.deadline_left_)};
  }
  const double left = static_cast<double>(request.first_token_left_.count());
  const double wait = static_cast<double>(request.expected_wait_.count());
  if (wait > 0 && wait > left * kPatience) {
    const Millis excess(static_cast<int64_t>(wait - left * kPatience));
    return {ErrorCode::kOverloaded, std::max(kMinRetryAfter, excess)};
  }
  return {};
}

Admission::Admission() : impl_(std::make_unique<Impl>()) {}
Admission::~Admission() = default;
Admission::Admission(Admission&&) noexcept = default;
Admission& Admission::operator=(Admission&&) noexcept = default;

void Admission::Configure(const std::vector<Workspace>& workspaces) {
  std::unordered_map<WorkspaceId, Bucket> buckets;
  for (const Workspace& workspace : workspaces) {
    const auto known = impl_->buckets_.find(workspace.name_);
    Bucket bucket;
    if (known != impl_->buckets_.end()) {
      bucket = known->second;
    } else {
      bucket.level_ = workspace.burst_;
    }
    bucket.rate_ = workspace.requests_per_second_;
    bucket.burst_ = workspace.burst_;
    bucket.level_ = std::min(bucket.level_, bucket.Capacity());
    buckets[workspace.name_] = bucket;
  }
  impl_->buckets_ = std::move(buckets);
}

void Admission::SetShare(const WorkspaceId& workspace, double share) {
  const auto found = impl_->buckets_.find(workspace);
  if (found == impl_->buckets_.end()) {
    return;
  }
  const bool known = share > 0 && share <= 1;
  found->second.share_ = known ? std::max(share, kMinShare) : 1;
}

AdmissionDecision Admission::Admit(const AdmissionRequest& request,
                                   Millis now) {
  const auto found = impl_->buckets_.find(request.workspace_);
  if (found == impl_->buckets_.end()) {
    return impl_->CheckLoad(request);
  }
  Bucket& bucket = found->second;
  bucket.Refill(now);
  bucket.demand_ += 1;
  if (bucket.level_ < 1) {
    const double rate = std::max(bucket.rate_ * bucket.share_, 0.001);
    const double wait = (1 - bucket.level_) / rate * kMillisPerSecond;
    return {ErrorCode::kRateLimited,
            Millis(static_cast<int64_t>(std::ceil(wait)))};
  }
  const AdmissionDecision decision = impl_->CheckLoad(request);
  if (decision.admitted()) {
    bucket.level_ -= 1;
  }
  return decision;
}

double Admission::Demand(const WorkspaceId& workspace, Millis now) const {
  const auto found = impl_->buckets_.find(workspace);
  if (found == impl_->buckets_.end()) {
    return 0;
  }
  const Bucket& bucket = found->second;
  const double since = static_cast<double>((now - bucket.refilled_).count());
  return bucket.demand_ * std::exp(-std::max(since, 0.0) / kDemandDecayMillis) /
         kDemandDecayMillis * kMillisPerSecond;
}

}  // namespace bergamotscale::policy
