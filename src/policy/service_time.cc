#include "src/policy/service_time.h"

#include <algorithm>
#include <cmath>

namespace bergamotscale::policy {
namespace {

constexpr double kLatestWeight = 0.05;
// Fewer samples say nothing about a route whose answers differ in length.
constexpr int kMinSamples = 10;
// Answers shorter than the mean are common, so less than the mean is required.
constexpr double kMinShare = 0.5;
// Mean deviations above the mean that nearly all answers stay within.
constexpr double kUsualDeviations = 4;

}  // namespace

void ServiceTime::OnServed(const std::string& route, Millis elapsed) {
  Mean& mean = routes_[route];
  ++mean.samples_;
  const double weight = std::max(kLatestWeight, 1.0 / mean.samples_);
  const double difference =
      static_cast<double>(elapsed.count()) - mean.elapsed_ms_;
  mean.elapsed_ms_ += difference * weight;
  // The first sample differs from no mean.
  if (mean.samples_ > 1) {
    mean.deviation_ms_ += (std::abs(difference) - mean.deviation_ms_) * weight;
  }
}

const ServiceTime::Mean* ServiceTime::Find(const std::string& route) const {
  const auto found = routes_.find(route);
  return found == routes_.end() || found->second.samples_ < kMinSamples
             ? nullptr
             : &found->second;
}

Millis ServiceTime::MinTimeLeft(const std::string& route) const {
  const Mean* const mean = Find(route);
  return mean == nullptr
             ? Millis(0)
             : Millis(static_cast<int64_t>(mean->elapsed_ms_ * kMinShare));
}

std::optional<Millis> ServiceTime::LongestUsual(
    const std::string& route) const {
  const Mean* const mean = Find(route);
  if (mean == nullptr) {
    return std::nullopt;
  }
  return Millis(static_cast<int64_t>(mean->elapsed_ms_ +
                                     mean->deviation_ms_ * kUsualDeviations));
}

}  // namespace bergamotscale::policy
