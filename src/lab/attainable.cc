#include "src/lab/attainable.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace bergamotscale::lab {

namespace {

constexpr double kMicrosPerSecond = 1e6;
// Fraction of the top tier's requests that must be on time.
constexpr double kTopTierShare = 0.99;
// Search steps per engine for the number of batch-limited engines.
constexpr int kStepsPerEngine = 50;
// Number of steps in which the slots_weight of Division goes from 0 to 1.
constexpr int kWeightSteps = 20;

Tier TopTierOf(const Scenario& scenario) {
  Tier top = scenario.classes_.front().class_.tier_;
  for (const ClassWorkload& workload : scenario.classes_) {
    top = std::min(top, workload.class_.tier_);
  }
  return top;
}

// @return the tightest inter-token target of the top tier.
double TopTargetMicros(const Scenario& scenario) {
  const Tier top = TopTierOf(scenario);
  int64_t target = 0;
  for (const ClassWorkload& workload : scenario.classes_) {
    const int64_t between = workload.class_.between_tokens_.count();
    if (workload.class_.tier_ == top && (target == 0 || between < target)) {
      target = between;
    }
  }
  return static_cast<double>(target * emulator::kMicrosPerMilli);
}

// The engine time per token.
struct TokenTime {
  // Without the base time of its step.
  double own_micros_ = 0;
  // With the token's share of the base time of its step.
  double whole_micros_ = 0;
};

// The engine time per second that is left to serve demand. Bounds both the sum
// of the tokens' own times and the sum of their whole times.
class EngineTime {
 public:
  EngineTime(double own_seconds, double whole_seconds)
      : own_micros_(own_seconds * kMicrosPerSecond),
        whole_micros_(whole_seconds * kMicrosPerSecond) {}

  // Serves as many tokens as fit.
  // @return the tokens served per second.
  double Serve(double tokens_per_second, const TokenTime& time) {
    const double fits = std::min(own_micros_ / time.own_micros_,
                                 whole_micros_ / time.whole_micros_);
    const double served = std::min(tokens_per_second, std::max(fits, 0.0));
    own_micros_ -= served * time.own_micros_;
    whole_micros_ -= served * time.whole_micros_;
    return served;
  }

 private:
  double own_micros_;
  double whole_micros_;
};

// Divides the engines into batch-limited and other ones, and computes the
// demand that they can serve.
class Division {
 public:
  // @param slots_weight the fraction of a step's base time that is divided by
  // slots; the rest is divided by KV memory. Every fraction gives an upper
  // bound.
  Division(const Scenario& scenario,
           std::vector<ClassDemand> demands,
           double slots_weight)
      : scenario_(scenario),
        demands_(std::move(demands)),
        by_cost_(demands_.size()) {
    const emulator::EngineParameters& engine = scenario.engine_;
    const auto base = static_cast<double>(engine.step_base_.count());
    const auto kv = static_cast<double>(engine.kv_capacity_.count());
    for (const ClassDemand& demand : demands_) {
      const double part = slots_weight / engine.max_running_ +
                          (1 - slots_weight) * demand.kv_tokens_ / kv;
      times_.push_back(
          {demand.cost_micros_, demand.cost_micros_ + base * part});
    }
    std::iota(by_cost_.begin(), by_cost_.end(), 0);
    std::sort(by_cost_.begin(), by_cost_.end(), [this](size_t a, size_t b) {
      return times_[a].whole_micros_ < times_[b].whole_micros_;
    });
  }

  // @param batch_limited number of batch-limited engines.
  // @return the tokens served per second; 0 if the top tier doesn't fit.
  double Serve(double batch_limited) const {
    const auto base = static_cast<double>(scenario_.engine_.step_base_.count());
    EngineTime batch_limited_time(
        batch_limited * (1 - base / TopTargetMicros(scenario_)), batch_limited);
    std::vector<ClassDemand> left = demands_;
    double served = 0;
    for (size_t i = 0; i < left.size(); ++i) {
      if (scenario_.classes_[i].class_.tier_ != TopTierOf(scenario_)) {
        continue;
      }
      const double needed = left[i].tokens_per_second_ * kTopTierShare;
      const double fitting = batch_limited_time.Serve(needed, times_[i]);
      if (fitting < needed) {
        return 0;
      }
      left[i].tokens_per_second_ = 0;
      served += fitting;
    }
    const double others = scenario_.engines_ - batch_limited;
    EngineTime other_time(others, others);
    return served + Fill(&batch_limited_time, &left) + Fill(&other_time, &left);
  }

  // @return the best division.
  GoodputBound FindBest() const {
    GoodputBound best;
    for (int i = 0; i <= scenario_.engines_ * kStepsPerEngine; ++i) {
      const double batch_limited = static_cast<double>(i) / kStepsPerEngine;
      const double served = Serve(batch_limited);
      if (served > best.tokens_per_second_) {
        best = {served, batch_limited};
      }
    }
    return best;
  }

 private:
  // Serves the cheapest classes first.
  double Fill(EngineTime* time, std::vector<ClassDemand>* left) const {
    double served = 0;
    for (const size_t i : by_cost_) {
      ClassDemand& demand = (*left)[i];
      const double fitting = time->Serve(demand.tokens_per_second_, times_[i]);
      demand.tokens_per_second_ -= fitting;
      served += fitting;
    }
    return served;
  }

  const Scenario& scenario_;
  std::vector<ClassDemand> demands_;
  std::vector<TokenTime> times_;
  std::vector<size_t> by_cost_;
};

// @return the mean of the output length raised to a power.
double MeanPower(const ClassWorkload& workload, int power) {
  const double sigma = workload.output_sigma_;
  const double most = static_cast<double>(workload.output_max_.count());
  const double cut = std::log(most / workload.output_median_) / sigma;
  const auto normal = [](double x) { return std::erfc(-x / std::sqrt(2)) / 2; };
  const double below = std::pow(workload.output_median_, power) *
                       std::exp(power * power * sigma * sigma / 2) *
                       normal(cut - power * sigma);
  return below + std::pow(most, power) * (1 - normal(cut));
}

// A request sampled while it runs has generated half of its answer on average,
// and the probability of sampling it is proportional to its length.
double MeanKv(const ClassWorkload& workload) {
  return static_cast<double>(workload.prompt_.count()) +
         MeanPower(workload, 2) / MeanPower(workload, 1) / 2;
}

// @return the rate of a stream whose work is `load` times the capacity, in
// requests per second.
double ComputeRate(const Scenario& scenario,
                   const std::vector<double>& shares,
                   double load) {
  double output = 0;
  for (size_t i = 0; i < shares.size(); ++i) {
    output += shares[i] * MeanOutput(scenario.classes_[i]);
  }
  return load * CapacityOf(scenario, shares).tokens_per_second_ / output;
}

}  // namespace

std::vector<ClassDemand> ComputeDemand(const Scenario& scenario,
                                       double cached_share) {
  std::vector<double> shares;
  for (const ClassWorkload& workload : scenario.classes_) {
    shares.push_back(workload.share_);
  }
  const double rate = ComputeRate(scenario, shares, scenario.load_);
  const emulator::EngineParameters& engine = scenario.engine_;
  std::vector<ClassDemand> demands;
  for (const ClassWorkload& workload : scenario.classes_) {
    const double output = MeanOutput(workload);
    const double cached =
        cached_share * static_cast<double>(workload.shared_prompt_.count());
    const double prefill =
        (static_cast<double>(workload.prompt_.count()) - cached) *
        static_cast<double>(engine.prefill_per_token_.count());
    ClassDemand demand;
    demand.tokens_per_second_ = rate * workload.share_ * output;
    demand.cost_micros_ =
        static_cast<double>(engine.step_per_sequence_.count()) +
        prefill / output;
    demand.kv_tokens_ = MeanKv(workload);
    demands.push_back(demand);
  }
  const Burst& burst = scenario.burst_;
  if (burst.class_ >= 0) {
    std::vector<double> burst_shares(shares.size(), 0);
    burst_shares[burst.class_] = 1;
    const double within =
        static_cast<double>((std::min(burst.to_, scenario.measure_to_) -
                             std::max(burst.from_, scenario.measure_from_))
                                .count()) /
        static_cast<double>(
            (scenario.measure_to_ - scenario.measure_from_).count());
    demands[burst.class_].tokens_per_second_ +=
        within * ComputeRate(scenario, burst_shares, burst.load_) *
        MeanOutput(scenario.classes_[burst.class_]);
  }
  return demands;
}

GoodputBound ComputeMaxGoodput(const Scenario& scenario, double cached_share) {
  const std::vector<ClassDemand> demands =
      ComputeDemand(scenario, cached_share);
  GoodputBound least;
  for (int i = 0; i <= kWeightSteps; ++i) {
    const double weight = static_cast<double>(i) / kWeightSteps;
    const GoodputBound bound = Division(scenario, demands, weight).FindBest();
    if (i == 0 || bound.tokens_per_second_ < least.tokens_per_second_) {
      least = bound;
    }
  }
  return least;
}

GoodputBound ComputeMaxGoodput(const Scenario& scenario) {
  return ComputeMaxGoodput(scenario, 1);
}

}  // namespace bergamotscale::lab
