#include "src/policy/admission.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace bergamotscale::policy {

namespace {

constexpr double kMillisPerSecond = 1000;
constexpr double kDemandDecayMillis = 2000;
constexpr double kMinShare = 0.02;
constexpr double kMinReportedDemand = 0.01;  // requests per second
constexpr Millis kShareRetention = Millis(5000);
constexpr Millis kMinRetryAfter = Millis(1000);
constexpr Millis kNoUpstreamRetryAfter = Millis(2000);
// A wait of this length or more means that no upstream is usable. See
// Dispatcher::kNoUpstreamWait.
constexpr Millis kNoUpstreamWait = Millis(1'000'000'000);
// The largest estimated wait that is admitted, as a share of the time left
// until the first token is due.
constexpr double kMaxWaitShare = 0.75;

// A token bucket, which limits the request rate of a workspace.
struct Bucket {
  void Refill(Millis now) {
    if (now - share_set_ > kShareRetention) {
      share_ = 1;
    }
    const double elapsed = static_cast<double>((now - refilled_).count());
    const double rate = rate_ * share_ / kMillisPerSecond;
    level_ = std::min(Capacity(), level_ + rate * std::max(elapsed, 0.0));
    demand_ *= std::exp(-std::max(elapsed, 0.0) / kDemandDecayMillis);
    refilled_ = now;
  }
  double Capacity() const { return std::max(1.0, burst_ * share_); }
  double PerSecond() const {
    return demand_ / kDemandDecayMillis * kMillisPerSecond;
  }

  double rate_ = 0;  // requests per second
  double burst_ = 0;
  double share_ = 1;
  double level_ = 0;
  double demand_ = 0;  // requests, exponentially decaying
  Millis refilled_;
  Millis share_set_;
};

}  // namespace

struct Admission::Impl {
  AdmissionDecision CheckLoad(const AdmissionRequest& request) const;

  std::unordered_map<WorkspaceId, Bucket> buckets_;
};

AdmissionDecision Admission::Impl::CheckLoad(
    const AdmissionRequest& request) const {
  if (request.expected_wait_ >= kNoUpstreamWait) {
    return {ErrorCode::kNoUpstream, kNoUpstreamRetryAfter};
  }
  const Millis needed = request.expected_wait_ + request.expected_run_;
  if (needed > request.deadline_left_) {
    return {ErrorCode::kDeadlineUnreachable,
            std::max(kMinRetryAfter, needed - request.deadline_left_)};
  }
  const double left = static_cast<double>(request.first_token_left_.count());
  const double wait = static_cast<double>(request.expected_wait_.count());
  if (wait > 0 && wait > left * kMaxWaitShare) {
    const Millis excess(static_cast<int64_t>(wait - left * kMaxWaitShare));
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
    const auto existing = impl_->buckets_.find(workspace.name_);
    Bucket bucket;
    if (existing != impl_->buckets_.end()) {
      bucket = existing->second;
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

void Admission::SetGlobalDemands(
    const std::vector<WorkspaceDemand>& of_all_entries,
    Millis now) {
  for (const WorkspaceDemand& demand : of_all_entries) {
    const auto found = impl_->buckets_.find(demand.workspace_);
    if (found == impl_->buckets_.end()) {
      continue;
    }
    Bucket& bucket = found->second;
    bucket.Refill(now);
    const double own = bucket.PerSecond();
    const double all = std::max(demand.per_second_, own);
    bucket.share_ = all > 0 && own > 0 ? std::max(own / all, kMinShare) : 1;
    bucket.share_set_ = now;
  }
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

std::vector<WorkspaceDemand> Admission::GetDemands(Millis now) const {
  std::vector<WorkspaceDemand> demands;
  for (const auto& [workspace, existing] : impl_->buckets_) {
    Bucket bucket = existing;
    bucket.Refill(now);
    if (bucket.PerSecond() > kMinReportedDemand) {
      demands.push_back({workspace, bucket.PerSecond()});
    }
  }
  return demands;
}

}  // namespace bergamotscale::policy
