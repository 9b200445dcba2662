// An experiment: several policies on the same arrivals, and its report.
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
  // Empty lists stand for all.
  std::vector<std::string> users_;
  std::vector<std::string> scenarios_;
  std::vector<std::string> policies_;
  std::vector<uint64_t> seeds_ = {1, 2, 3};
  // Folder for the data and script of a plot; empty for none.
  std::string plot_folder_;
};

// All policies on one scenario and user; each seed's arrivals are the same for
// all of them.
struct ExperimentResult {
  Scenario scenario_;
  std::vector<Report> reports_;
};

// Runs all combinations.
// @return their results, or kNotFound for an unknown name.
// Thread safety: safe.
Result<std::vector<ExperimentResult>> RunExperiment(
    const ExperimentOptions& options);

// @return the results as one table of text for each scenario and user.
std::string FormatTable(const std::vector<ExperimentResult>& results);

// Writes a data file and a gnuplot script for each result into the folder,
// which must exist. "gnuplot NAME.gp" then makes NAME.svg.
Status WritePlots(const std::vector<ExperimentResult>& results,
                  const std::string& folder);

// The whole command: runs, prints the table to standard output and writes the
// plots. @return the exit code.
int ExperimentMain(const ExperimentOptions& options);

// @return the parts of a comma-separated list.
std::vector<std::string> SplitList(const std::string& list);

}  // namespace bergamotscale::lab

#endif  // BERGAMOTSCALE_SRC_LAB_EXPERIMENT_H_
