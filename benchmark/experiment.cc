// Runs the policies against each other without sockets and prints a table:
// experiment [--seeds 1,2,3] [--user NAME] [--scenario NAME] [--policy NAME].
#include <cstdlib>
#include <string>

#include <gflags/gflags.h>

#include "src/lab/experiment.h"

DEFINE_string(seeds, "1,2,3", "seeds of arrivals, comma-separated");
DEFINE_string(user, "", "hanbit or plygu; all if empty");
DEFINE_string(scenario, "", "scenarios, comma-separated; all if empty");
DEFINE_string(policy, "", "policies, comma-separated; all if empty");
DEFINE_string(plots, "", "folder for gnuplot scripts and data; none if empty");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  bergamotscale::lab::ExperimentOptions options;
  options.seeds_.clear();
  for (const std::string& seed : bergamotscale::lab::SplitList(FLAGS_seeds)) {
    options.seeds_.push_back(std::strtoull(seed.c_str(), nullptr, 10));
  }
  options.users_ = bergamotscale::lab::SplitList(FLAGS_user);
  options.scenarios_ = bergamotscale::lab::SplitList(FLAGS_scenario);
  options.policies_ = bergamotscale::lab::SplitList(FLAGS_policy);
  options.plot_folder_ = FLAGS_plots;
  return bergamotscale::lab::ExperimentMain(options);
}
