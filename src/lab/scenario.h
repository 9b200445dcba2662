// The scenarios of experiments: service classes and their workload, sizes, load
// and faults.
#ifndef BERGAMOTSCALE_SRC_LAB_SCENARIO_H_
#define BERGAMOTSCALE_SRC_LAB_SCENARIO_H_

#include <string>
#include <vector>

#include "bergamotscale/config_document.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"
#include "src/emulator/engine_types.h"

namespace bergamotscale::lab {

// A service class and the shape of its requests.
struct ClassWorkload {
  ServiceClass class_;
  // Fraction of the requests of the base load.
  double share_ = 0;
  Tokens prompt_;
  // Prompt tokens shared by requests that use the same template.
  Tokens shared_prompt_;
  // Output lengths are lognormal, cut off at output_max_.
  double output_median_ = 0;  // tokens
  double output_sigma_ = 0;
  Tokens output_max_ = Tokens(4000);
};

// Additional requests of one class for a limited time.
struct Burst {
  int class_ = -1;  // index; -1 for no burst
  Millis from_;
  Millis to_;
  // Load of the burst alone, as a multiple of the capacity.
  double load_ = 0;
};

struct Faults {
  // Fraction of callers that leave early.
  double leave_share_ = 0;
  // -1 for none.
  int crash_engine_ = -1;
  Millis crash_at_;
  Millis restart_after_ = Millis(10'000);
  int straggler_engine_ = -1;
  Millis straggler_from_;
  Millis straggler_to_;
  double straggler_factor_ = 3;
  // One request that crashes its engine and that its caller retries.
  bool crasher_ = false;
  Millis crasher_at_;
  int crasher_retries_ = 8;
};

struct Scenario {
  std::string name_;
  std::string user_;
  std::vector<ClassWorkload> classes_;
  int engines_ = 9;
  int entries_ = 4;
  int zones_ = 4;
  int workspaces_ = 10;
  emulator::EngineParameters engine_;
  Millis duration_ = Millis(120'000);
  // Only this part of the run is measured.
  Millis measure_from_ = Millis(10'000);
  Millis measure_to_ = Millis(100'000);
  // Base load as a multiple of the capacity.
  double load_ = 0.7;
  Burst burst_;
  Faults faults_;
};

// The engines' capacity for a mix of classes.
struct Capacity {
  double batch_ = 0;              // concurrent requests per engine
  double tokens_per_second_ = 0;  // output of all engines
};

// @return the capacity of all engines for requests in these shares, if they run
// the largest batch that keeps the tightest inter-token target.
Capacity CapacityOf(const Scenario& scenario,
                    const std::vector<double>& shares);

// @return the mean output length of a class, in tokens.
double MeanOutput(const ClassWorkload& workload);

// Users: "hanbit", "plygu". Names: "steady", "bulk_burst" (a burst of the
// lowest class raises the load to 1.5 times the capacity), "urgent_burst" (the
// top tier alone exceeds the capacity), "faults" (a crash, a straggler, callers
// that leave), "crasher" (a request that crashes its engine).
// @return the scenario, or kNotFound. Thread safety: safe.
Result<Scenario> MakeScenario(const std::string& user, const std::string& name);

// @return all scenario names, and all users.
std::vector<std::string> ScenarioNames();
std::vector<std::string> ScenarioUsers();

}  // namespace bergamotscale::lab

#endif  // BERGAMOTSCALE_SRC_LAB_SCENARIO_H_
