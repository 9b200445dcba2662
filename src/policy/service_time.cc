#include "src/policy/service_time.h"

#include <algorithm>
#include <utility>

namespace bergamotscale::policy {
namespace {

constexpr double kLatestWeight = 0.05;
// Fewer samples say nothing about a route whose answers differ in length.
constexpr int kMinSamples = 10;
// Answers shorter than the mean are common, so less than the mean is required.
constexpr double kMinShare = 0.5;
// The longest of so many requests is exceeded by one in as many.
constexpr int kLongestSamples = 100;
constexpr int kMarginShare = 4;

}  // namespace

void ServiceTime::OnServed(const std::string& route, Millis elapsed) {
  Samples& samples = routes_[route];
  ++samples.count_;
  const double weight = std::max(kLatestWeight, 1.0 / samples.count_);
  samples.mean_ms_ +=
      (static_cast<double>(elapsed.count()) - samples.mean_ms_) * weight;
  if (++samples.in_longest_ > kLongestSamples) {
    samples.former_longest_ = std::exchange(samples.longest_, Millis(0));
    samples.in_longest_ = 1;
  }
  samples.longest_ = std::max(samples.longest_, elapsed);
}

Millis ServiceTime::MinTimeLeft(const std::string& route) const {
  const auto found = routes_.find(route);
  if (found == routes_.end() || found->second.count_ < kMinSamples) {
    return Millis(0);
  }
  return Millis(static_cast<int64_t>(found->second.mean_ms_ * kMinShare));
}

std::optional<Millis> ServiceTime::LongestUsual(
    const std::string& route) const {
  const auto found = routes_.find(route);
  if (found == routes_.end() || found->second.count_ < kLongestSamples) {
    return std::nullopt;
  }
  const Millis longest =
      std::max(found->second.longest_, found->second.former_longest_);
  return longest + longest / kMarginShare;
}

}  // namespace bergamotscale::policy
