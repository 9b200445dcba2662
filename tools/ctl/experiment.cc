#include "src/lab/experiment.h"

#include <cstdlib>
#include <string>

#include <gflags/gflags.h>

#include "tools/ctl/command.h"

DEFINE_string(seeds, "1,2,3", "seeds of arrivals, comma-separated");
DEFINE_string(user, "", "hanbit or plygu; all if empty");
DEFINE_string(scenario, "", "scenarios, comma-separated; all if empty");
DEFINE_string(policy, "", "policies, comma-separated; all if empty");
DEFINE_string(plots, "", "folder for gnuplot scripts and data; none if empty");

namespace bergamotscale::ctl {

int RunExperiment(const Arguments& arguments) {
  if (!arguments.empty()) {
    return FailUsage("experiment");
  }
  lab::ExperimentOptions options;
  options.seeds_.clear();
  for (const std::string& seed : lab::SplitList(FLAGS_seeds)) {
    options.seeds_.push_back(std::strtoull(seed.c_str(), nullptr, 10));
  }
  options.users_ = lab::SplitList(FLAGS_user);
  options.scenarios_ = lab::SplitList(FLAGS_scenario);
  options.policies_ = lab::SplitList(FLAGS_policy);
  options.plot_folder_ = FLAGS_plots;
  return lab::ExperimentMain(options);
}

}  // namespace bergamotscale::ctl
