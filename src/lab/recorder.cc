#include "src/lab/recorder.h"

#include <algorithm>

#include "src/lab/attainable.h"

namespace bergamotscale::lab {

namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr double kPercent = 100;
constexpr Micros kWindow = Micros(30'000'000);

double ToDoubleMillis(Micros time) {
  return static_cast<double>(time.count()) / emulator::kMicrosPerMilli;
}

double Quantile99(std::vector<double> values) {
  if (values.empty()) {
    return 0;
  }
  const size_t index = values.size() * 99 / 100;
  const auto at = values.begin() +
                  static_cast<ptrdiff_t>(std::min(index, values.size() - 1));
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

double Ratio(double part, double whole) {
  return whole > 0 ? part / whole : 0;
}

}  // namespace

Recorder::Recorder(const Scenario& scenario,
                   const std::vector<Arrival>& arrivals)
    : scenario_(scenario),
      arrivals_(arrivals),
      progress_(arrivals.size()),
      preempted_(scenario.classes_.size()),
      from_(emulator::ToMicros(scenario.measure_from_)),
      to_(emulator::ToMicros(scenario.measure_to_)) {}

void Recorder::RecordRejected(int request) {
  progress_[request].end_ = End::kRefused;
}

void Recorder::RecordFailed(int request) {
  progress_[request].end_ = End::kFailed;
}

void Recorder::RecordLeft(int request, Micros at) {
  Progress& progress = progress_[request];
  if (progress.end_ == End::kOpen) {
    progress.end_ = End::kLeft;
    progress.ended_ = at;
  }
}

void Recorder::RecordCompleted(int request, Micros at) {
  progress_[request].end_ = End::kCompleted;
  progress_[request].ended_ = at;
}

void Recorder::RecordDelivered(int request, int64_t index, Micros at) {
  Progress& progress = progress_[request];
  if (index < progress.delivered_) {
    return;
  }
  if (progress.delivered_ == 0) {
    progress.first_ = at;
  }
  progress.last_ = at;
  ++progress.delivered_;
  ++delivered_;
  progress.in_window_ += IsInWindow(at) ? 1 : 0;
}

void Recorder::RecordGenerated(Micros at) {
  ++generated_;
  generated_in_window_ += IsInWindow(at) ? 1 : 0;
}

void Recorder::RecordPrefilled(int request, Tokens cached, Micros at) {
  if (!IsInWindow(at)) {
    return;
  }
  const auto blocks =
      static_cast<int64_t>(arrivals_[request].block_hashes_.size());
  const int64_t shared = blocks * scenario_.engine_.block_.count();
  shared_prompts_ += shared;
  cached_prompts_ += std::min(cached.count(), shared);
}

void Recorder::RecordPreempted(int request) {
  ++preempted_[arrivals_[request].class_];
}

void Recorder::Sample(Micros at, int running) {
  if (!IsInWindow(at)) {
    return;
  }
  ++samples_;
  busy_samples_ += running > 0 ? 1 : 0;
  sampled_running_ += running;
}

bool Recorder::IsInWindow(Micros at) const {
  return at >= from_ && at < to_;
}

bool Recorder::IsMeasured(int request) const {
  return IsInWindow(arrivals_[request].at_);
}

bool Recorder::MissedFirstToken(int request, Micros by) const {
  const Arrival& arrival = arrivals_[request];
  const ServiceClass& service_class = scenario_.classes_[arrival.class_].class_;
  const Progress& progress = progress_[request];
  const Micros first = progress.delivered_ > 0 ? progress.first_ : by;
  return first - arrival.at_ > emulator::ToMicros(service_class.first_token_);
}

// A request whose caller left, or whose run ended, before its first token was
// due counts neither as on time nor as late.
bool Recorder::IsUndecided(int request) const {
  const Progress& progress = progress_[request];
  if (progress.end_ == End::kLeft) {
    return !MissedFirstToken(request, progress.ended_);
  }
  return progress.end_ == End::kOpen && progress.delivered_ == 0 &&
         !MissedFirstToken(request, emulator::ToMicros(scenario_.duration_));
}

double Recorder::MeanTokenInterval(int request) const {
  const Progress& progress = progress_[request];
  if (progress.delivered_ < 2) {
    return 0;
  }
  return ToDoubleMillis(progress.last_ - progress.first_) /
         static_cast<double>(progress.delivered_ - 1);
}

// A request that still runs at the end is judged by its tokens so far.
bool Recorder::MetTargets(int request) const {
  const Progress& progress = progress_[request];
  if (progress.end_ == End::kRefused || progress.end_ == End::kFailed) {
    return false;
  }
  const Micros end = emulator::ToMicros(scenario_.duration_);
  if (MissedFirstToken(request, end)) {
    return false;
  }
  const int class_index = arrivals_[request].class_;
  const Millis target = scenario_.classes_[class_index].class_.between_tokens_;
  return MeanTokenInterval(request) <= static_cast<double>(target.count());
}

int64_t Recorder::MinPerWindow(int class_index) const {
  const int64_t windows =
      std::max<int64_t>(1, (to_.count() - from_.count()) / kWindow.count());
  std::vector<int64_t> completed(windows);
  for (size_t i = 0; i < progress_.size(); ++i) {
    const Progress& progress = progress_[i];
    if (arrivals_[i].class_ != class_index ||
        progress.end_ != End::kCompleted || !IsInWindow(progress.ended_)) {
      continue;
    }
    const int64_t window =
        (progress.ended_.count() - from_.count()) / kWindow.count();
    if (window < windows) {
      ++completed[window];
    }
  }
  return *std::min_element(completed.begin(), completed.end());
}

ClassReport Recorder::MakeClassReport(int class_index) const {
  const ServiceClass& service_class = scenario_.classes_[class_index].class_;
  ClassReport report;
  report.name_ = service_class.name_.value();
  report.tier_ = service_class.tier_.value();
  report.preempted_ = preempted_[class_index];
  report.min_per_window_ = MinPerWindow(class_index);
  std::vector<double> first;
  std::vector<double> between;
  int64_t attained = 0;
  for (int i = 0; i < static_cast<int>(progress_.size()); ++i) {
    const Progress& progress = progress_[i];
    if (arrivals_[i].class_ != class_index || !IsMeasured(i)) {
      continue;
    }
    if (IsUndecided(i)) {
      continue;
    }
    ++report.requests_;
    report.refused_ += progress.end_ == End::kRefused ? 1 : 0;
    report.failed_ += progress.end_ == End::kFailed ? 1 : 0;
    report.completed_ += progress.end_ == End::kCompleted ? 1 : 0;
    attained += MetTargets(i) ? 1 : 0;
    if (progress.delivered_ > 0) {
      first.push_back(ToDoubleMillis(progress.first_ - arrivals_[i].at_));
      between.push_back(MeanTokenInterval(i));
    }
  }
  report.attainment_ = kPercent * Ratio(static_cast<double>(attained),
                                        static_cast<double>(report.requests_));
  report.first_token_p99_ = Quantile99(std::move(first));
  report.between_tokens_p99_ = Quantile99(std::move(between));
  return report;
}

Report Recorder::MakeReport(const std::string& policy, uint64_t seed) const {
  Report report;
  report.policy_ = policy;
  report.seed_ = seed;
  int64_t good = 0;
  for (int i = 0; i < static_cast<int>(progress_.size()); ++i) {
    good += MetTargets(i) ? progress_[i].in_window_ : 0;
  }
  for (int i = 0; i < static_cast<int>(scenario_.classes_.size()); ++i) {
    report.classes_.push_back(MakeClassReport(i));
  }
  const double seconds =
      static_cast<double>(to_.count() - from_.count()) / kMicrosPerSecond;
  report.goodput_ = static_cast<double>(good) / seconds;
  report.output_ = static_cast<double>(generated_in_window_) / seconds;
  const double busy =
      Ratio(static_cast<double>(busy_samples_), static_cast<double>(samples_));
  report.goodput_percent_ =
      kPercent * Ratio(report.goodput_, Ratio(report.output_, busy));
  report.attainable_percent_ =
      kPercent *
      Ratio(report.goodput_, ComputeMaxGoodput(scenario_).tokens_per_second_);
  report.cached_percent_ =
      kPercent * Ratio(static_cast<double>(cached_prompts_),
                       static_cast<double>(shared_prompts_));
  report.mean_batch_ = Ratio(static_cast<double>(sampled_running_),
                             static_cast<double>(busy_samples_));
  report.generated_tokens_ = generated_;
  report.wasted_tokens_ = generated_ - delivered_;
  report.wasted_percent_ =
      kPercent * Ratio(static_cast<double>(report.wasted_tokens_),
                       static_cast<double>(generated_));
  report.crashes_ = crashes_;
  report.retries_ = retries_;
  return report;
}

}  // namespace bergamotscale::lab
