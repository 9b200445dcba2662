#include "src/lab/arrivals.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace bergamotscale::lab {

namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr int kTemplatesPerWorkspace = 12;
// A few large workspaces send most of the requests.
constexpr int kLargeWorkspaces = 3;
constexpr double kLargeShare = 0.7;
constexpr double kMeanLeaveMicros = 1.5e6;
constexpr uint64_t kCrasherDigest = 0xdead;

class Generator {
 public:
  Generator(const Scenario& scenario, uint64_t seed)
      : scenario_(scenario), rng_(seed) {}

  std::vector<Arrival> Run() {
    std::vector<double> shares;
    for (const ClassWorkload& workload : scenario_.classes_) {
      shares.push_back(workload.share_);
    }
    AddStream(shares, scenario_.load_, Millis(0), scenario_.duration_);
    const Burst& burst = scenario_.burst_;
    if (burst.class_ >= 0) {
      std::vector<double> burst_shares(shares.size(), 0);
      burst_shares[burst.class_] = 1;
      AddStream(burst_shares, burst.load_, burst.from_, burst.to_);
    }
    if (scenario_.faults_.crasher_) {
      AddCrasher();
    }
    std::stable_sort(
        arrivals_.begin(), arrivals_.end(),
        [](const Arrival& a, const Arrival& b) { return a.at_ < b.at_; });
    return std::move(arrivals_);
  }

 private:
  double Uniform() { return std::uniform_real_distribution<>(0, 1)(rng_); }

  // Adds Poisson arrivals whose work is `load` times the capacity for them.
  void AddStream(const std::vector<double>& shares,
                 double load,
                 Millis from,
                 Millis to) {
    double output = 0;
    for (size_t i = 0; i < shares.size(); ++i) {
      output += shares[i] * MeanOutput(scenario_.classes_[i]);
    }
    const double capacity = CapacityOf(scenario_, shares).tokens_per_second_;
    const double per_second = load * capacity / output;
    std::exponential_distribution<> interval(per_second / kMicrosPerSecond);
    std::discrete_distribution<> pick_class(shares.begin(), shares.end());
    const double end = static_cast<double>(emulator::ToMicros(to).count());
    double at = static_cast<double>(emulator::ToMicros(from).count());
    for (at += interval(rng_); at < end; at += interval(rng_)) {
      Add(pick_class(rng_), emulator::Micros(static_cast<int64_t>(at)));
    }
  }

  void Add(int class_index, emulator::Micros at) {
    const ClassWorkload& workload = scenario_.classes_[class_index];
    Arrival arrival;
    arrival.at_ = at;
    arrival.class_ = class_index;
    arrival.workspace_ = DrawWorkspace();
    arrival.entry_ = static_cast<int>(rng_() % scenario_.entries_);
    arrival.prompt_tokens_ = workload.prompt_;
    arrival.output_tokens_ = DrawOutput(workload);
    arrival.block_hashes_ =
        DrawBlockHashes(workload, class_index, arrival.workspace_);
    arrival.digest_ = rng_();
    if (Uniform() < scenario_.faults_.leave_share_) {
      std::exponential_distribution<> time_to_leave(1 / kMeanLeaveMicros);
      arrival.leaves_at_ =
          at + emulator::Micros(static_cast<int64_t>(time_to_leave(rng_)));
    }
    arrivals_.push_back(std::move(arrival));
  }

  void AddCrasher() {
    Add(0, emulator::ToMicros(scenario_.faults_.crasher_at_));
    arrivals_.back().crashes_engine_ = true;
    arrivals_.back().digest_ = kCrasherDigest;
    arrivals_.back().leaves_at_.reset();
  }

  int DrawWorkspace() {
    const int large = std::min(kLargeWorkspaces, scenario_.workspaces_);
    const int small = scenario_.workspaces_ - large;
    if (small == 0 || Uniform() < kLargeShare) {
      return static_cast<int>(rng_() % large);
    }
    return large + static_cast<int>(rng_() % small);
  }

  Tokens DrawOutput(const ClassWorkload& workload) {
    std::lognormal_distribution<> length(std::log(workload.output_median_),
                                         workload.output_sigma_);
    const int64_t tokens = std::llround(length(rng_));
    return Tokens(std::clamp<int64_t>(tokens, 1, workload.output_max_.count()));
  }

  std::vector<uint64_t> DrawBlockHashes(const ClassWorkload& workload,
                                        int class_index,
                                        int workspace) {
    const uint64_t prompt_template = rng_() % kTemplatesPerWorkspace;
    std::mt19937_64 hashes((prompt_template * 1000 + workspace) * 100 +
                           class_index);
    const int64_t count =
        workload.shared_prompt_.count() / scenario_.engine_.block_.count();
    std::vector<uint64_t> blocks(count);
    std::generate(blocks.begin(), blocks.end(), std::ref(hashes));
    return blocks;
  }

  const Scenario& scenario_;
  std::mt19937_64 rng_;
  std::vector<Arrival> arrivals_;
};

}  // namespace

std::vector<Arrival> GenerateArrivals(const Scenario& scenario, uint64_t seed) {
  return Generator(scenario, seed).Run();
}

}  // namespace bergamotscale::lab
