// The bounds that the policy must keep, in short runs of the experiment.
#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "src/lab/experiment.h"

namespace bergamotscale::lab {
namespace {

constexpr uint64_t kSeeds[] = {1, 2, 3};

Scenario Short(const std::string& user, const std::string& name) {
  Scenario scenario = MakeScenario(user, name).value();
  scenario.duration_ = Millis(45'000);
  scenario.measure_from_ = Millis(10'000);
  scenario.measure_to_ = Millis(40'000);
  Faults& faults = scenario.faults_;
  faults.crash_at_ = Millis(12'000);
  faults.crasher_at_ = Millis(12'000);
  faults.straggler_from_ = Millis(20'000);
  faults.straggler_to_ = Millis(35'000);
  return scenario;
}

// Runs that several tests look at are made once.
Report Run(const Scenario& scenario, PolicyKind kind, uint64_t seed) {
  static std::map<std::string, Report> reports;
  const std::string key = scenario.user_ + " " + scenario.name_ + " " +
                          PolicyName(kind) + " " + std::to_string(seed);
  const auto known = reports.find(key);
  if (known != reports.end()) {
    return known->second;
  }
  const Report report =
      Simulate(scenario, GenerateArrivals(scenario, seed), kind, seed);
  reports[key] = report;
  return report;
}

// Calls back with each user's scenario and each seed.
template <typename Check>
void ForUsersAndSeeds(const std::string& name, Check check) {
  for (const std::string& user : ScenarioUsers()) {
    for (const uint64_t seed : kSeeds) {
      CAPTURE(user);
      CAPTURE(seed);
      check(Short(user, name), seed);
    }
  }
}

TEST_CASE("experiment: a burst of the lowest class leaves the top tier alone") {
  ForUsersAndSeeds("bulk_burst", [](const Scenario& scenario, uint64_t seed) {
    const Report report = Run(scenario, PolicyKind::kBergamot, seed);
    const ClassReport& top = report.classes_.front();
    CHECK(top.attainment_ >= 99);
    CHECK(top.refused_ == 0);
    CHECK(top.failed_ == 0);
    CHECK(top.preempted_ == 0);
    for (const ClassReport& each : report.classes_) {
      CHECK(each.least_per_window_ > 0);
    }
    CHECK(report.goodput_percent_ >= 97);
    for (const PolicyKind baseline :
         {PolicyKind::kRoundRobin, PolicyKind::kLeastConnections,
          PolicyKind::kFifo}) {
      const Report other = Run(scenario, baseline, seed);
      CAPTURE(other.policy_);
      CHECK(report.goodput_percent_ >= other.goodput_percent_);
      CHECK(top.attainment_ >= other.classes_.front().attainment_);
    }
  });
}

TEST_CASE("experiment: goodput in tokens no lower than the best baseline") {
  ForUsersAndSeeds("bulk_burst", [](const Scenario& scenario, uint64_t seed) {
    const Report report = Run(scenario, PolicyKind::kBergamot, seed);
    for (const PolicyKind baseline :
         {PolicyKind::kRoundRobin, PolicyKind::kLeastConnections,
          PolicyKind::kFifo}) {
      const Report other = Run(scenario, baseline, seed);
      CAPTURE(other.policy_);
      CHECK(report.goodput_ >= other.goodput_);
    }
  });
}

TEST_CASE("experiment: a burst of the top tier orders attainment by tier") {
  ForUsersAndSeeds("urgent_burst", [](const Scenario& scenario, uint64_t seed) {
    const Report report = Run(scenario, PolicyKind::kBergamot, seed);
    for (size_t i = 1; i < report.classes_.size(); ++i) {
      CHECK(report.classes_[i - 1].attainment_ >
            report.classes_[i].attainment_);
    }
    for (const ClassReport& each : report.classes_) {
      CHECK(each.completed_ > 0);
    }
    CHECK(report.goodput_percent_ >= 97);
    for (const PolicyKind baseline :
         {PolicyKind::kRoundRobin, PolicyKind::kLeastConnections,
          PolicyKind::kFifo}) {
      CHECK(report.goodput_ >= Run(scenario, baseline, seed).goodput_);
    }
  });
}

TEST_CASE("experiment: faults and leaving callers waste little") {
  ForUsersAndSeeds("faults", [](const Scenario& scenario, uint64_t seed) {
    const Report report = Run(scenario, PolicyKind::kBergamot, seed);
    const Report robin = Run(scenario, PolicyKind::kRoundRobin, seed);
    CHECK(report.crashes_ == 1);
    CHECK(report.wasted_percent_ < 1);
    CHECK(report.wasted_percent_ * 10 <= robin.wasted_percent_);
    for (const ClassReport& each : report.classes_) {
      CHECK(each.failed_ == 0);
    }
  });
}

TEST_CASE("experiment: a crashing request takes down two engines at most") {
  ForUsersAndSeeds("crasher", [](const Scenario& scenario, uint64_t seed) {
    const Report report = Run(scenario, PolicyKind::kBergamot, seed);
    CHECK(report.crashes_ <= 2);
    // Only the crashing request itself goes without an answer.
    CHECK(report.classes_.front().refused_ <= 1);
    for (const ClassReport& each : report.classes_) {
      CHECK(each.failed_ == 0);
    }
  });
}

TEST_CASE("experiment: the same seed gives the same report and arrivals") {
  ExperimentOptions options;
  options.users_ = {"plygu"};
  options.scenarios_ = {"steady"};
  options.policies_ = {"bergamot", "power_of_two"};
  options.seeds_ = {7};
  const auto first = RunExperiment(options);
  const auto second = RunExperiment(options);
  REQUIRE(first.ok());
  CHECK(FormatTable(first.value()) == FormatTable(second.value()));
  options.scenarios_ = {"nothing"};
  CHECK(RunExperiment(options).error().code_ == ErrorCode::kNotFound);
}

}  // namespace
}  // namespace bergamotscale::lab
