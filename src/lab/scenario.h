// What an experiment runs: service classes and their workload, sizes, load and
// faults.
#ifndef BERGAMOTSCALE_SRC_LAB_SCENARIO_H_
#define BERGAMOTSCALE_SRC_LAB_SCENARIO_H_

#include <string>
#include <vector>

#include "bergamotscale/config_document.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"
#include "src/emulator/engine_types.h"

namespace bergamotscale::lab {

// A service class and what its requests look like.
struct ClassWorkload {
  ServiceClass class_;
  // Share of the requests of the base load.
  double share_ = 0;
  Tokens prompt_;
  // Part of the prompt that requests made from one template share.
  Tokens shared_prompt_;
  // Output lengths are lognormal, cut off at the maximum.
  double output_median_ = 0;  // tokens
  double output_sigma_ = 0;
  Tokens output_max_ = Tokens(4000);
};

// More requests of one class for a time.
struct Burst {
  int class_ = -1;  // index; -1 for no burst
  Millis from_;
  Millis to_;
  // Load of the burst alone, as a multiple of capacity.
  double load_ = 0;
};

struct Faults {
  // Share of callers that leave early.
  double leave_share_ = 0;
  // -1: none.
  int crash_engine_ = -1;
  Millis crash_at_;
  Millis restart_after_ = Millis(10'000);
  int straggler_engine_ = -1;
  Millis straggler_from_;
  Millis straggler_to_;
  double straggler_factor_ = 3;
  // One request that crashes its engine, sent again by its caller.
  bool crasher_ = false;
  Millis crasher_at_;
  int crasher_resends_ = 8;
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
  // Measures are taken of this part of the run.
  Millis measure_from_ = Millis(10'000);
  Millis measure_to_ = Millis(100'000);
  // Base load as a multiple of capacity.
  double load_ = 0.7;
  Burst burst_;
  Faults faults_;
};

// The engines' capacity for a mix of classes.
struct Capacity {
  double batch_ = 0;              // requests that run at once on one engine
  double tokens_per_second_ = 0;  // output of all engines
};

// @return the capacity of all engines for requests of these shares, when they
// run the largest batch that keeps to the tightest time between tokens.
Capacity CapacityOf(const Scenario& scenario,
                    const std::vector<double>& shares);

// @return the mean output length of a class, in tokens.
double MeanOutput(const ClassWorkload& workload);

// Users: "hanbit", "plygu". Names: "steady", "bulk_burst" (1.5 times capacity
// by a burst of the lowest class), "urgent_burst" (the top tier alone exceeds
// capacity), "faults" (a crash, a straggler, callers that leave), "crasher".
// @return the scenario, or kNotFound. Thread safety: safe.
Result<Scenario> MakeScenario(const std::string& user, const std::string& name);

// @return all scenario names, and all users.
std::vector<std::string> ScenarioNames();
std::vector<std::string> ScenarioUsers();

}  // namespace bergamotscale::lab

#endif  // BERGAMOTSCALE_SRC_LAB_SCENARIO_H_
