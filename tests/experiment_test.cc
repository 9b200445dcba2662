// The bounds that the policy must keep, in short runs of the experiment.
#include <future>
#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "src/lab/experiment.h"

namespace bergamotscale::lab {
namespace {

constexpr uint64_t kSeeds[] = {1, 2, 3};

Scenario MakeShortScenario(const std::string& user, const std::string& name) {
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

// Reports by user, scenario, policy and seed, so that tests share their runs.
std::map<std::string, Report>& Reports() {
  static std::map<std::string, Report> reports;
  return reports;
}

std::string KeyOf(const Scenario& scenario, PolicyKind kind, uint64_t seed) {
  return scenario.user_ + " " + scenario.name_ + " " + PolicyName(kind) + " " +
         std::to_string(seed);
}

// Runs the policies for all users and seeds, a few at a time.
void RunAll(const std::string& name, const std::vector<PolicyKind>& kinds) {
  for (const std::string& user : ScenarioUsers()) {
    const Scenario scenario = MakeShortScenario(user, name);
    for (const uint64_t seed : kSeeds) {
      const std::vector<Arrival> arrivals = GenerateArrivals(scenario, seed);
      std::map<std::string, std::future<Report>> runs;
      for (const PolicyKind kind : kinds) {
        const std::string key = KeyOf(scenario, kind, seed);
        if (Reports().count(key) == 0) {
          runs[key] = std::async(std::launch::async, [&, kind] {
            return Simulate(scenario, arrivals, kind, seed);
          });
        }
      }
      for (auto& [key, run] : runs) {
        Reports()[key] = run.get();
      }
    }
  }
}

// Precondition: RunAll() has been called for the scenario and the policy.
const Report& GetReport(const Scenario& scenario,
                        PolicyKind kind,
                        uint64_t seed) {
  return Reports().at(KeyOf(scenario, kind, seed));
}

const std::vector<PolicyKind> kBaselines = {
    PolicyKind::kRoundRobin, PolicyKind::kLeastConnections, PolicyKind::kFifo};
const std::vector<PolicyKind> kCompared = {
    PolicyKind::kBergamot, PolicyKind::kRoundRobin,
    PolicyKind::kLeastConnections, PolicyKind::kFifo};

// Calls `check` with each user's scenario and each seed.
template <typename Check>
void ForUsersAndSeeds(const std::string& name, Check check) {
  for (const std::string& user : ScenarioUsers()) {
    for (const uint64_t seed : kSeeds) {
      CAPTURE(user);
      CAPTURE(seed);
      check(MakeShortScenario(user, name), seed);
    }
  }
}

TEST_CASE(
    "experiment: a burst of the lowest class doesn't affect the top tier") {
  RunAll("bulk_burst", kCompared);
  ForUsersAndSeeds("bulk_burst", [](const Scenario& scenario, uint64_t seed) {
    const Report report = GetReport(scenario, PolicyKind::kBergamot, seed);
    const ClassReport& top = report.classes_.front();
    CHECK(top.attainment_ >= 99);
    CHECK(top.refused_ == 0);
    CHECK(top.failed_ == 0);
    CHECK(top.preempted_ == 0);
    for (const ClassReport& each : report.classes_) {
      CHECK(each.min_per_window_ > 0);
    }
    CHECK(report.goodput_percent_ >= 97);
    for (const PolicyKind baseline : kBaselines) {
      const Report other = GetReport(scenario, baseline, seed);
      CAPTURE(other.policy_);
      CHECK(report.goodput_percent_ >= other.goodput_percent_);
      CHECK(top.attainment_ >= other.classes_.front().attainment_);
    }
  });
}

TEST_CASE("experiment: goodput in tokens no lower than the best baseline") {
  RunAll("bulk_burst", kCompared);
  ForUsersAndSeeds("bulk_burst", [](const Scenario& scenario, uint64_t seed) {
    const Report report = GetReport(scenario, PolicyKind::kBergamot, seed);
    for (const PolicyKind baseline : kBaselines) {
      const Report other = GetReport(scenario, baseline, seed);
      CAPTURE(other.policy_);
      CHECK(report.goodput_ >= other.goodput_);
    }
  });
}

// The baselines' queues grow for minutes, until they generate bulk output only.
TEST_CASE("experiment: goodput no lower than any baseline in a long burst") {
  for (const std::string& user : ScenarioUsers()) {
    const Scenario scenario = MakeScenario(user, "bulk_burst").value();
    for (const uint64_t seed : kSeeds) {
      CAPTURE(user);
      CAPTURE(seed);
      const std::vector<Arrival> arrivals = GenerateArrivals(scenario, seed);
      std::vector<std::future<Report>> runs;
      runs.reserve(kCompared.size());
      for (const PolicyKind kind : kCompared) {
        runs.push_back(std::async(std::launch::async, [&, kind] {
          return Simulate(scenario, arrivals, kind, seed);
        }));
      }
      const Report report = runs.front().get();
      CHECK(report.classes_.front().attainment_ >= 99);
      for (size_t i = 1; i < runs.size(); ++i) {
        const Report other = runs[i].get();
        CAPTURE(other.policy_);
        CHECK(report.goodput_ >= other.goodput_);
      }
    }
  }
}

// The bound assumes that all shared prompts are cached and that no request
// waits in a queue.
TEST_CASE("experiment: goodput in a long burst near what is attainable") {
  for (const std::string& user : ScenarioUsers()) {
    const Scenario scenario = MakeScenario(user, "bulk_burst").value();
    for (const uint64_t seed : kSeeds) {
      CAPTURE(user);
      CAPTURE(seed);
      const Report report = Simulate(scenario, GenerateArrivals(scenario, seed),
                                     PolicyKind::kBergamot, seed);
      CHECK(report.classes_.front().attainment_ >= 99);
      CHECK(report.attainable_percent_ >= 97);
    }
  }
}

// The top tier has less than one request per second over all entries.
TEST_CASE("experiment: a rare request of the top tier is on time in a burst") {
  constexpr int64_t kSeconds = 300;
  for (const std::string& user : ScenarioUsers()) {
    for (const uint64_t seed : kSeeds) {
      CAPTURE(user);
      CAPTURE(seed);
      Scenario scenario = MakeScenario(user, "bulk_burst").value();
      scenario.classes_.front().share_ = 0.004;
      const Report report = Simulate(scenario, GenerateArrivals(scenario, seed),
                                     PolicyKind::kBergamot, seed);
      const ClassReport& top = report.classes_.front();
      CHECK(top.requests_ < kSeconds);
      CHECK(top.attainment_ >= 99);
    }
  }
}

TEST_CASE("experiment: a burst of the top tier orders attainment by tier") {
  RunAll("urgent_burst", kCompared);
  ForUsersAndSeeds("urgent_burst", [](const Scenario& scenario, uint64_t seed) {
    const Report report = GetReport(scenario, PolicyKind::kBergamot, seed);
    for (size_t i = 1; i < report.classes_.size(); ++i) {
      CHECK(report.classes_[i - 1].attainment_ >
            report.classes_[i].attainment_);
    }
    for (const ClassReport& each : report.classes_) {
      CHECK(each.completed_ > 0);
    }
    CHECK(report.goodput_percent_ >= 97);
    for (const PolicyKind baseline : kBaselines) {
      CHECK(report.goodput_ >= GetReport(scenario, baseline, seed).goodput_);
    }
  });
}

TEST_CASE("experiment: faults and disconnecting callers waste few tokens") {
  RunAll("faults", {PolicyKind::kBergamot, PolicyKind::kRoundRobin});
  ForUsersAndSeeds("faults", [](const Scenario& scenario, uint64_t seed) {
    const Report report = GetReport(scenario, PolicyKind::kBergamot, seed);
    const Report robin = GetReport(scenario, PolicyKind::kRoundRobin, seed);
    CHECK(report.crashes_ == 1);
    CHECK(report.wasted_percent_ < 1);
    CHECK(report.wasted_percent_ * 10 <= robin.wasted_percent_);
    for (const ClassReport& each : report.classes_) {
      CHECK(each.failed_ == 0);
    }
  });
}

TEST_CASE("experiment: an engine crash fails no request in a full-length run") {
  for (const std::string& user : ScenarioUsers()) {
    const Scenario scenario = MakeScenario(user, "faults").value();
    for (const uint64_t seed : kSeeds) {
      CAPTURE(user);
      CAPTURE(seed);
      const Report report = Simulate(scenario, GenerateArrivals(scenario, seed),
                                     PolicyKind::kBergamot, seed);
      for (const ClassReport& each : report.classes_) {
        CAPTURE(each.name_);
        CHECK(each.failed_ == 0);
      }
    }
  }
}

TEST_CASE("experiment: a crashing request takes down two engines at most") {
  RunAll("crasher", {PolicyKind::kBergamot});
  ForUsersAndSeeds("crasher", [](const Scenario& scenario, uint64_t seed) {
    const Report report = GetReport(scenario, PolicyKind::kBergamot, seed);
    CHECK(report.crashes_ <= 2);
    // Only the crashing request itself gets no answer.
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
