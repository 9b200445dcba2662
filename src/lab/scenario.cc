#include "src/lab/scenario.h"

#include <algorithm>
#include <cmath>

namespace bergamotscale::lab {

namespace {

constexpr double kMicrosPerSecond = 1e6;
// Fraction of shared prompt tokens that are assumed to be cached.
constexpr double kCachedShare = 0.8;

ServiceClass MakeClass(const char* name,
                       int tier,
                       Millis first_token,
                       Millis between_tokens,
                       Millis deadline,
                       int floor_percent) {
  ServiceClass service_class;
  service_class.name_ = ClassId(name);
  service_class.tier_ = Tier(tier);
  service_class.first_token_ = first_token;
  service_class.between_tokens_ = between_tokens;
  service_class.deadline_ = deadline;
  service_class.floor_percent_ = floor_percent;
  return service_class;
}

// Short quotes, orders and long bend plans.
Scenario PlyguFfliw() {
  Scenario scenario;
  scenario.user_ = "plygu";
  scenario.zones_ = 4;
  scenario.classes_ = {
      {MakeClass("quote", 1, Millis(1900), Millis(28), Millis(20'000), 0), 0.5,
       Tokens(640), Tokens(448), 60, 0.7, Tokens(600)},
      {MakeClass("order", 2, Millis(4000), Millis(40), Millis(30'000), 1), 0.25,
       Tokens(384), Tokens(256), 40, 0.5, Tokens(400)},
      {MakeClass("bend-plan", 3, Millis(20'000), Millis(60), Millis(300'000),
                 3),
       0.25, Tokens(1536), Tokens(1024), 300, 0.9, Tokens(4000)},
  };
  return scenario;
}

// Editor suggestions, catalogue orders and bulk re-tagging.
Scenario HanbitTagworks() {
  Scenario scenario;
  scenario.user_ = "hanbit";
  scenario.zones_ = 3;
  scenario.classes_ = {
      {MakeClass("suggestion", 1, Millis(1900), Millis(28), Millis(20'000), 0),
       0.4, Tokens(768), Tokens(384), 50, 0.6, Tokens(600)},
      {MakeClass("order", 2, Millis(3000), Millis(40), Millis(30'000), 1), 0.2,
       Tokens(256), Tokens(128), 30, 0.4, Tokens(300)},
      {MakeClass("bulk", 3, Millis(60'000), Millis(200), Millis(600'000), 3),
       0.4, Tokens(896), Tokens(640), 150, 0.8, Tokens(3000)},
  };
  return scenario;
}

void AddBulkBurst(Scenario* scenario) {
  scenario->load_ = 0.7;
  // Long enough for queues to exceed the wait that the lowest class tolerates.
  scenario->duration_ = Millis(330'000);
  scenario->measure_to_ = Millis(310'000);
  scenario->burst_ = {2, Millis(10'000), Millis(330'000), 0.8};
}

void AddUrgentBurst(Scenario* scenario) {
  scenario->load_ = 0.5;
  scenario->burst_ = {0, Millis(10'000), Millis(120'000), 1.2};
}

void AddFaults(Scenario* scenario) {
  scenario->load_ = 0.75;
  Faults& faults = scenario->faults_;
  faults.leave_share_ = 0.1;
  faults.crash_engine_ = 2;
  faults.crash_at_ = Millis(30'000);
  faults.straggler_engine_ = 5;
  faults.straggler_from_ = Millis(45'000);
  faults.straggler_to_ = Millis(75'000);
}

void AddCrasher(Scenario* scenario) {
  scenario->load_ = 0.7;
  scenario->faults_.crasher_ = true;
  scenario->faults_.crasher_at_ = Millis(20'000);
}

}  // namespace

double MeanOutput(const ClassWorkload& workload) {
  const double sigma = workload.output_sigma_;
  return workload.output_median_ * std::exp(sigma * sigma / 2);
}

Capacity CapacityOf(const Scenario& scenario,
                    const std::vector<double>& shares) {
  double output = 0;
  double prefill = 0;
  int64_t target = 0;
  for (size_t i = 0; i < scenario.classes_.size(); ++i) {
    const ClassWorkload& workload = scenario.classes_[i];
    const double cached =
        kCachedShare * static_cast<double>(workload.shared_prompt_.count());
    output += shares[i] * MeanOutput(workload);
    prefill +=
        shares[i] * (static_cast<double>(workload.prompt_.count()) - cached);
    const int64_t between = workload.class_.between_tokens_.count();
    target = target == 0 ? between : std::min(target, between);
  }
  const emulator::EngineParameters& engine = scenario.engine_;
  const double per_sequence =
      static_cast<double>(engine.step_per_sequence_.count()) +
      prefill / output * static_cast<double>(engine.prefill_per_token_.count());
  const double step = static_cast<double>(target * emulator::kMicrosPerMilli);
  const double base = static_cast<double>(engine.step_base_.count());
  Capacity capacity;
  capacity.batch_ =
      std::min<double>((step - base) / per_sequence, engine.max_running_);
  capacity.tokens_per_second_ = scenario.engines_ * capacity.batch_ *
                                kMicrosPerSecond /
                                (base + capacity.batch_ * per_sequence);
  return capacity;
}

Result<Scenario> MakeScenario(const std::string& user,
                              const std::string& name) {
  if (user != "plygu" && user != "hanbit") {
    return Error(ErrorCode::kNotFound, "unknown user " + user);
  }
  Scenario scenario = user == "plygu" ? PlyguFfliw() : HanbitTagworks();
  scenario.name_ = name;
  if (name == "steady") {
    return scenario;
  }
  if (name == "bulk_burst") {
    AddBulkBurst(&scenario);
  } else if (name == "urgent_burst") {
    AddUrgentBurst(&scenario);
  } else if (name == "faults") {
    AddFaults(&scenario);
  } else if (name == "crasher") {
    AddCrasher(&scenario);
  } else {
    return Error(ErrorCode::kNotFound, "unknown scenario " + name);
  }
  return scenario;
}

std::vector<std::string> ScenarioNames() {
  return {"steady", "bulk_burst", "urgent_burst", "faults", "crasher"};
}

std::vector<std::string> ScenarioUsers() {
  return {"hanbit", "plygu"};
}

}  // namespace bergamotscale::lab
