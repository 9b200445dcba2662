#include "src/lab/attainable.h"

#include <algorithm>
#include <numeric>

namespace bergamotscale::lab {

namespace {

constexpr double kMicrosPerSecond = 1e6;
// Share of the top tier's requests that must be on time.
constexpr double kTopTierShare = 0.99;
// Steps in which the number of kept engines is searched.
constexpr int kStepsPerEngine = 100;

Tier TopTierOf(const Scenario& scenario) {
  Tier top = scenario.classes_.front().class_.tier_;
  for (const ClassWorkload& workload : scenario.classes_) {
    top = std::min(top, workload.class_.tier_);
  }
  return top;
}

// The tightest time between tokens of the top tier.
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

// Engines' time, of which demand is served at a cost.
class EngineTime {
 public:
  // @param seconds engine time that is free in each second.
  // @param most_tokens per second that may be written in it.
  EngineTime(double seconds, double most_tokens)
      : micros_(seconds * kMicrosPerSecond), most_tokens_(most_tokens) {}

  // Serves as much as fits. @return the tokens per second served.
  double Serve(double tokens_per_second, double cost_micros) {
    const double fits = std::min(micros_ / cost_micros, most_tokens_);
    const double served = std::min(tokens_per_second, std::max(fits, 0.0));
    micros_ -= served * cost_micros;
    most_tokens_ -= served;
    return served;
  }

 private:
  double micros_;
  double most_tokens_;
};

// Serves demand at one number of kept engines.
class Division {
 public:
  Division(const Scenario& scenario, std::vector<ClassDemand> demands)
      : scenario_(scenario),
        demands_(std::move(demands)),
        by_cost_(demands_.size()) {
    std::iota(by_cost_.begin(), by_cost_.end(), 0);
    std::sort(by_cost_.begin(), by_cost_.end(), [this](size_t a, size_t b) {
      return demands_[a].cost_micros_ < demands_[b].cost_micros_;
    });
  }

  // @return the tokens per second, or 0 if the top tier doesn't fit.
  double Serve(double kept) {
    const double base =
        static_cast<double>(scenario_.engine_.step_base_.count());
    const double most = scenario_.engine_.max_running_;
    const double step = TopTargetMicros(scenario_);
    EngineTime kept_time(kept * (1 - base / step),
                         kept * most * kMicrosPerSecond / step);
    std::vector<ClassDemand> left = demands_;
    double served = 0;
    for (size_t i = 0; i < left.size(); ++i) {
      if (scenario_.classes_[i].class_.tier_ != TopTierOf(scenario_)) {
        continue;
      }
      const double needed = left[i].tokens_per_second_ * kTopTierShare;
      const double fitted = kept_time.Serve(needed, left[i].cost_micros_);
      if (fitted < needed) {
        return 0;
      }
      left[i].tokens_per_second_ = 0;
      served += fitted;
    }
    // The others run full batches, which share a step's base time.
    EngineTime other_time(scenario_.engines_ - kept, kMicrosPerSecond);
    return served + Fill(&kept_time, 0, &left) +
           Fill(&other_time, base / most, &left);
  }

 private:
  // Serves the cheapest classes first.
  double Fill(EngineTime* time,
              double base_micros,
              std::vector<ClassDemand>* left) const {
    double served = 0;
    for (const size_t i : by_cost_) {
      ClassDemand& demand = (*left)[i];
      const double fitted = time->Serve(demand.tokens_per_second_,
                                        demand.cost_micros_ + base_micros);
      demand.tokens_per_second_ -= fitted;
      served += fitted;
    }
    return served;
  }

  const Scenario& scenario_;
  std::vector<ClassDemand> demands_;
  std::vector<size_t> by_cost_;
};

// Requests per second of a stream whose work is `load` times the capacity.
double RateOf(const Scenario& scenario,
              const std::vector<double>& shares,
              double load) {
  double output = 0;
  for (size_t i = 0; i < shares.size(); ++i) {
    output += shares[i] * MeanOutput(scenario.classes_[i]);
  }
  return load * CapacityOf(scenario, shares).tokens_per_second_ / output;
}

}  // namespace

std::vector<ClassDemand> DemandOf(const Scenario& scenario,
                                  double cached_share) {
  std::vector<double> shares;
  for (const ClassWorkload& workload : scenario.classes_) {
    shares.push_back(workload.share_);
  }
  const double rate = RateOf(scenario, shares, scenario.load_);
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
    demands.push_back(demand);
  }
  const Burst& burst = scenario.burst_;
  if (burst.class_ >= 0) {
    std::vector<double> only(shares.size(), 0);
    only[burst.class_] = 1;
    const double within =
        static_cast<double>((std::min(burst.to_, scenario.measure_to_) -
                             std::max(burst.from_, scenario.measure_from_))
                                .count()) /
        static_cast<double>(
            (scenario.measure_to_ - scenario.measure_from_).count());
    demands[burst.class_].tokens_per_second_ +=
        within * RateOf(scenario, only, burst.load_) *
        MeanOutput(scenario.classes_[burst.class_]);
  }
  return demands;
}

Attainable MostGoodput(const Scenario& scenario, double cached_share) {
  Division division(scenario, DemandOf(scenario, cached_share));
  Attainable best;
  for (int step = 0; step <= scenario.engines_ * kStepsPerEngine; ++step) {
    const double kept = static_cast<double>(step) / kStepsPerEngine;
    const double served = division.Serve(kept);
    if (served > best.tokens_per_second_) {
      best = {served, kept};
    }
  }
  return best;
}

Attainable MostGoodput(const Scenario& scenario) {
  return MostGoodput(scenario, 1);
}

}  // namespace bergamotscale::lab
