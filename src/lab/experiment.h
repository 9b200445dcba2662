// Runs several policies on the same arrivals and reports the results.
#ifndef BERGAMOTSCALE_SRC_LAB_EXPERIMENT_H_
#define BERGAMOTSCALE_SRC_LAB_EXPERIMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bergamotscale/result.h"
#include "src/lab/recorder.h"
#include "src/lab/simulation.h"

namespace bergamotscale::lab {

struct ExperimentOptions {
  // Empty lists select everything.
  std::vector<std::string> users_;
  std::vector<std::string> scenarios_;
  std::vector<std::string> policies_;
  std::vector<uint64_t> seeds_ = {1, 2, 3};
  // Folder for plot data and scripts; empty for none.
  std::string plot_folder_;
};

// The reports of all policies for one scenario and user. For each seed, all
// policies get the same arrivals.
struct ExperimentResult {
  Scenario scenario_;
  std::vector<Report> reports_;
};

// Runs all combinations.
// @return their results, or kNotFound for an unknown name.
// Thread safety: safe.
Result<std::vector<ExperimentResult>> RunExperiment(
    const ExperimentOptions& options);

// @return a text table for each scenario and user.
std::string FormatTable(const std::vector<ExperimentResult>& results);

// Writes a data file and a gnuplot script for each result into an existing
// folder. "gnuplot NAME.gp" then creates NAME.svg.
Status WritePlots(const std::vector<ExperimentResult>& results,
                  const std::string& folder);

// Runs the experiment as a command: prints the table to standard output and
// writes the plots.
// @return the exit code.
int ExperimentMain(const ExperimentOptions& options);

// @return the parts of a comma-separated list.
std::vector<std::string> SplitList(const std::string& list);

}  // namespace bergamotscale::lab

#endif  // BERGAMOTSCALE_SRC_LAB_EXPERIMENT_H_
