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

void Recorder::Refused(int request) {
  progress_[request].end_ = End::kRefused;
}

void Recorder::Failed(int request) {
  progress_[request].end_ = End::kFailed;
}

void Recorder::Left(int request, Micros at) {
  Progress& progress = progress_[request];
  if (progress.end_ == End::kOpen) {
    progress.end_ = End::kLeft;
    progress.ended_ = at;
  }
}

void Recorder::Completed(int request, Micros at) {
  progress_[request].end_ = End::kCompleted;
  progress_[request].ended_ = at;
}

void Recorder::Delivered(int request, int64_t index, Micros at) {
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
  progress.in_window_ += InWindow(at) ? 1 : 0;
}

void Recorder::Written(Micros at) {
  ++written_;
  written_in_window_ += InWindow(at) ? 1 : 0;
}

void Recorder::Prefilled(int request, Tokens cached, Micros at) {
  if (!InWindow(at)) {
    return;
  }
  const auto blocks =
      static_cast<int64_t>(arrivals_[request].block_hashes_.size());
  const int64_t shared = blocks * scenario_.engine_.block_.count();
  shared_prompts_ += shared;
  cached_prompts_ += std::min(cached.count(), shared);
}

void Recorder::Preempted(int request) {
  ++preempted_[arrivals_[request].class_];
}

void Recorder::Sample(Micros at, int running) {
  if (!InWindow(at)) {
    return;
  }
  ++samples_;
  busy_samples_ += running > 0 ? 1 : 0;
  sampled_running_ += running;
}

bool Recorder::InWindow(Micros at) const {
  return at >= from_ && at < to_;
}

bool Recorder::Measured(int request) const {
  return InWindow(arrivals_[request].at_);
}

bool Recorder::FirstTokenMissed(int request, Micros by) const {
  const Arrival& arrival = arrivals_[request];
  const ServiceClass& service_class = scenario_.classes_[arrival.class_].class_;
  const Progress& progress = progress_[request];
  const Micros first = progress.delivered_ > 0 ? progress.first_ : by;
  return first - arrival.at_ > emulator::ToMicros(service_class.first_token_);
}

// A caller that left, or a run that ended, before the first token was due
// proves nothing.
bool Recorder::Undecided(int request) const {
  const Progress& progress = progress_[request];
  if (progress.end_ == End::kLeft) {
    return !FirstTokenMissed(request, progress.ended_);
  }
  return progress.end_ == End::kOpen && progress.delivered_ == 0 &&
         !FirstTokenMissed(request, emulator::ToMicros(scenario_.duration_));
}

double Recorder::BetweenTokens(int request) const {
  const Progress& progress = progress_[request];
  if (progress.delivered_ < 2) {
    return 0;
  }
  return ToDoubleMillis(progress.last_ - progress.first_) /
         static_cast<double>(progress.delivered_ - 1);
}

// A request that is still running at the end counts by what it had so far.
bool Recorder::Attained(int request) const {
  const Progress& progress = progress_[request];
  if (progress.end_ == End::kRefused || progress.end_ == End::kFailed) {
    return false;
  }
  const Micros end = emulator::ToMicros(scenario_.duration_);
  if (FirstTokenMissed(request, end)) {
    return false;
  }
  const int class_index = arrivals_[request].class_;
  const Millis target = scenario_.classes_[class_index].class_.between_tokens_;
  return BetweenTokens(request) <= static_cast<double>(target.count());
}

int64_t Recorder::LeastPerWindow(int class_index) const {
  const int64_t windows =
      std::max<int64_t>(1, (to_.count() - from_.count()) / kWindow.count());
  std::vector<int64_t> completed(windows);
  for (size_t i = 0; i < progress_.size(); ++i) {
    const Progress& progress = progress_[i];
    if (arrivals_[i].class_ != class_index ||
        progress.end_ != End::kCompleted || !InWindow(progress.ended_)) {
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
  report.least_per_window_ = LeastPerWindow(class_index);
  std::vector<double> first;
  std::vector<double> between;
  int64_t attained = 0;
  for (int i = 0; i < static_cast<int>(progress_.size()); ++i) {
    const Progress& progress = progress_[i];
    if (arrivals_[i].class_ != class_index || !Measured(i)) {
      continue;
    }
    if (Undecided(i)) {
      continue;
    }
    ++report.requests_;
    report.refused_ += progress.end_ == End::kRefused ? 1 : 0;
    report.failed_ += progress.end_ == End::kFailed ? 1 : 0;
    report.completed_ += progress.end_ == End::kCompleted ? 1 : 0;
    attained += Attained(i) ? 1 : 0;
    if (progress.delivered_ > 0) {
      first.push_back(ToDoubleMillis(progress.first_ - arrivals_[i].at_));
      between.push_back(BetweenTokens(i));
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
    good += Attained(i) ? progress_[i].in_window_ : 0;
  }
  for (int i = 0; i < static_cast<int>(scenario_.classes_.size()); ++i) {
    report.classes_.push_back(MakeClassReport(i));
  }
  const double seconds =
      static_cast<double>(to_.count() - from_.count()) / kMicrosPerSecond;
  report.goodput_ = static_cast<double>(good) / seconds;
  report.output_ = static_cast<double>(written_in_window_) / seconds;
  const double busy =
      Ratio(static_cast<double>(busy_samples_), static_cast<double>(samples_));
  report.goodput_percent_ =
      kPercent * Ratio(report.goodput_, Ratio(report.output_, busy));
  report.attainable_percent_ =
      kPercent *
      Ratio(report.goodput_, MostGoodput(scenario_).tokens_per_second_);
  report.cached_percent_ =
      kPercent * Ratio(static_cast<double>(cached_prompts_),
                       static_cast<double>(shared_prompts_));
  report.mean_batch_ = Ratio(static_cast<double>(sampled_running_),
                             static_cast<double>(busy_samples_));
  report.written_tokens_ = written_;
  report.wasted_tokens_ = written_ - delivered_;
  report.wasted_percent_ =
      kPercent * Ratio(static_cast<double>(report.wasted_tokens_),
                       static_cast<double>(written_));
  report.crashes_ = crashes_;
  report.retries_ = retries_;
  return report;
}

}  // namespace bergamotscale::lab
