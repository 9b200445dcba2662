#include "src/policy/output_estimator.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <unordered_map>

namespace bergamotscale::policy {

namespace {

constexpr Tokens kDefaultOutput = Tokens(128);
// Bucket i holds lengths from about 2^(i/4) tokens on.
constexpr int kBucketsPerDoubling = 4;
constexpr int kBuckets = 80;
constexpr double kHalvingWeight = 1000;
constexpr double kPercent = 100;

int BucketOf(Tokens output) {
  const double length = std::max<double>(1, output.count());
  const int bucket = static_cast<int>(std::log2(length) * kBucketsPerDoubling);
  return std::min(bucket, kBuckets - 1);
}

double LengthOf(int bucket) {
  return std::exp2((bucket + 0.5) / kBucketsPerDoubling);
}

struct Histogram {
  void Add(Tokens output) {
    weights_[BucketOf(output)] += 1;
    total_ += 1;
    if (total_ < kHalvingWeight) {
      return;
    }
    for (double& weight : weights_) {
      weight /= 2;
    }
    total_ /= 2;
  }

  std::array<double, kBuckets> weights_{};
  double total_ = 0;
};

}  // namespace

struct OutputEstimator::Impl {
  const Histogram* Find(const ClassId& class_id) const {
    const auto found = classes_.find(class_id);
    return found == classes_.end() ? nullptr : &found->second;
  }

  std::unordered_map<ClassId, Histogram> classes_;
};

OutputEstimator::OutputEstimator() : impl_(std::make_unique<Impl>()) {}
OutputEstimator::~OutputEstimator() = default;
OutputEstimator::OutputEstimator(OutputEstimator&&) noexcept = default;
OutputEstimator& OutputEstimator::operator=(OutputEstimator&&) noexcept =
    default;

void OutputEstimator::Observe(const ClassId& class_id, Tokens output) {
  impl_->classes_[class_id].Add(output);
}

Tokens OutputEstimator::Expected(const ClassId& class_id) const {
  return Remaining(class_id, Tokens(0));
}

// The mean remainder of the observed answers that were longer than `written`.
Tokens OutputEstimator::Remaining(const ClassId& class_id,
                                  Tokens written) const {
  const Histogram* histogram = impl_->Find(class_id);
  if (histogram == nullptr) {
    return std::max(Tokens(1), kDefaultOutput - written);
  }
  const double from = static_cast<double>(written.count());
  double weight = 0;
  double sum = 0;
  for (int bucket = 0; bucket < kBuckets; ++bucket) {
    const double left = LengthOf(bucket) - from;
    if (left > 0) {
      weight += histogram->weights_[bucket];
      sum += histogram->weights_[bucket] * left;
    }
  }
  if (weight == 0) {
    // Longer than any observed answer: expects as much again, the usual
    // estimate for heavy-tailed distributions.
    return std::max(Tokens(1), written);
  }
  return std::max(Tokens(1), Tokens(std::llround(sum / weight)));
}

Tokens OutputEstimator::Quantile(const ClassId& class_id, int percent) const {
  const Histogram* histogram = impl_->Find(class_id);
  if (histogram == nullptr) {
    return kDefaultOutput;
  }
  const double wanted = histogram->total_ * percent / kPercent;
  double weight = 0;
  int bucket = 0;
  for (; bucket < kBuckets - 1; ++bucket) {
    weight += histogram->weights_[bucket];
    if (weight >= wanted) {
      break;
    }
  }
  return Tokens(std::llround(LengthOf(bucket)));
}

}  // namespace bergamotscale::policy
