#include "src/metrics/metrics.h"

#include <array>
#include <map>
#include <mutex>
#include <sstream>
#include <utility>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace bergamotscale::metrics {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

// The estimator keeps two markers per quantile and three more. With fewer
// samples, its quantiles are meaningless and are omitted.
constexpr size_t kMinSamples = 2 * kQuantiles.size() + 3;

using Accumulator = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::mean, acc::tag::extended_p_square>>;

struct SeriesKey {
  std::string name_;
  std::string label_;
  friend bool operator<(const SeriesKey& a, const SeriesKey& b) {
    return a.name_ != b.name_ ? a.name_ < b.name_ : a.label_ < b.label_;
  }
};

std::string FormatSeries(const SeriesKey& key, const std::string& extra) {
  std::string labels;
  if (!key.label_.empty()) {
    labels = "label=\"" + key.label_ + "\"";
  }
  if (!extra.empty()) {
    labels += (labels.empty() ? "" : ",") + extra;
  }
  return labels.empty() ? key.name_ : key.name_ + "{" + labels + "}";
}

}  // namespace

class Metrics::Impl {
 public:
  mutable std::mutex mutex_;
  std::map<SeriesKey, int64_t> counters_;
  std::map<SeriesKey, double> gauges_;
  std::map<SeriesKey, Accumulator> distributions_;
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::Add(const std::string& name,
                  const std::string& label,
                  int64_t amount) {
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  impl_->counters_[SeriesKey{name, label}] += amount;
}

void Metrics::Set(const std::string& name,
                  const std::string& label,
                  double value) {
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  impl_->gauges_[SeriesKey{name, label}] = value;
}

void Metrics::Observe(const std::string& name,
                      const std::string& label,
                      double sample) {
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  const SeriesKey key{name, label};
  auto found = impl_->distributions_.find(key);
  if (found == impl_->distributions_.end()) {
    Accumulator accumulator(acc::tag::extended_p_square::probabilities =
                                kQuantiles);
    found = impl_->distributions_.emplace(key, accumulator).first;
  }
  found->second(sample);
}

int64_t Metrics::Counter(const std::string& name,
                         const std::string& label) const {
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  const auto found = impl_->counters_.find(SeriesKey{name, label});
  return found == impl_->counters_.end() ? 0 : found->second;
}

std::string Metrics::Render() const {
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  std::ostringstream text;
  for (const auto& [key, value] : impl_->counters_) {
    text << FormatSeries(key, "") << " " << value << "\n";
  }
  for (const auto& [key, value] : impl_->gauges_) {
    text << FormatSeries(key, "") << " " << value << "\n";
  }
  for (const auto& [key, samples] : impl_->distributions_) {
    text << FormatSeries({key.name_ + "_count", key.label_}, "") << " "
         << acc::count(samples) << "\n";
    text << FormatSeries({key.name_ + "_mean", key.label_}, "") << " "
         << acc::mean(samples) << "\n";
    if (acc::count(samples) < kMinSamples) {
      continue;
    }
    for (size_t i = 0; i < kQuantiles.size(); ++i) {
      std::ostringstream quantile;
      quantile << "quantile=\"" << kQuantiles[i] << "\"";
      text << FormatSeries(key, quantile.str()) << " "
           << acc::extended_p_square(samples)[i] << "\n";
    }
  }
  return text.str();
}

}  // namespace bergamotscale::metrics
