#include "src/lab/experiment.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace bergamotscale::lab {

namespace {

template <typename... Arguments>
std::string Format(const char* format, Arguments... arguments) {
  char text[256];
  std::snprintf(text, sizeof(text), format, arguments...);
  return text;
}

Result<std::vector<PolicyKind>> FindPolicies(
    const std::vector<std::string>& names) {
  if (names.empty()) {
    return AllPolicies();
  }
  std::vector<PolicyKind> kinds;
  for (const std::string& name : names) {
    const Result<PolicyKind> kind = PolicyFromName(name);
    if (!kind.ok()) {
      return kind.error();
    }
    kinds.push_back(kind.value());
  }
  return kinds;
}

ExperimentResult RunScenario(const Scenario& scenario,
                             const std::vector<PolicyKind>& kinds,
                             const std::vector<uint64_t>& seeds) {
  ExperimentResult result;
  result.scenario_ = scenario;
  for (const uint64_t seed : seeds) {
    const std::vector<Arrival> arrivals = GenerateArrivals(scenario, seed);
    for (const PolicyKind kind : kinds) {
      result.reports_.push_back(Simulate(scenario, arrivals, kind, seed));
    }
  }
  return result;
}

std::string FormatReport(const Report& report) {
  std::string line = Format(
      "%-18s %5lld %8.0f %6.1f %6.1f %8.0f %6.1f %6.1f %7.3f %5lld %6lld",
      report.policy_.c_str(), static_cast<long long>(report.seed_),
      report.goodput_, report.attainable_percent_, report.goodput_percent_,
      report.output_, report.mean_batch_, report.cached_percent_,
      report.wasted_percent_, static_cast<long long>(report.crashes_),
      static_cast<long long>(report.retries_));
  for (const ClassReport& entry : report.classes_) {
    line += Format(" | %6.2f %6lld %5lld %5lld %4lld %6.0f %5.1f %5lld",
                   entry.attainment_, static_cast<long long>(entry.requests_),
                   static_cast<long long>(entry.refused_),
                   static_cast<long long>(entry.failed_),
                   static_cast<long long>(entry.preempted_),
                   entry.first_token_p99_, entry.between_tokens_p99_,
                   static_cast<long long>(entry.min_per_window_));
  }
  return line + "\n";
}

std::string FormatHeader(const Report& report) {
  std::string line =
      Format("%-18s %5s %8s %6s %6s %8s %6s %6s %7s %5s %6s", "policy", "seed",
             "good/s", "att.%", "good%", "out/s", "batch", "cache%", "waste%",
             "crash", "retry");
  for (const ClassReport& entry : report.classes_) {
    line +=
        Format(" | %-10s%4s%6s %5s %5s %4s %6s %5s %5s", entry.name_.c_str(),
               "att%", "n", "ref", "fail", "pre", "ttft99", "tbt99", "min30");
  }
  return line + "\n";
}

std::string PlotName(const ExperimentResult& result) {
  return result.scenario_.user_ + "_" + result.scenario_.name_;
}

// @return one line per policy, with means over the seeds.
std::string PlotData(const ExperimentResult& result) {
  std::vector<std::string> policies;
  for (const Report& report : result.reports_) {
    if (std::find(policies.begin(), policies.end(), report.policy_) ==
        policies.end()) {
      policies.push_back(report.policy_);
    }
  }
  std::ostringstream data;
  for (const std::string& policy : policies) {
    std::vector<double> sums(result.scenario_.classes_.size() + 2);
    int count = 0;
    for (const Report& report : result.reports_) {
      if (report.policy_ != policy) {
        continue;
      }
      ++count;
      sums[0] += report.goodput_;
      sums[1] += report.wasted_percent_;
      for (size_t i = 0; i < report.classes_.size(); ++i) {
        sums[i + 2] += report.classes_[i].attainment_;
      }
    }
    data << policy;
    for (const double sum : sums) {
      data << ' ' << sum / count;
    }
    data << '\n';
  }
  return data.str();
}

std::string PlotScript(const ExperimentResult& result) {
  const std::string name = PlotName(result);
  std::ostringstream script;
  script << "set terminal svg size 1200,400 noenhanced\n"
         << "set output '" << name << ".svg'\n"
         << "set multiplot layout 1,3 title '" << name << "'\n"
         << "set style data histograms\nset style fill solid 0.7\n"
         << "set xtics rotate by -35\nset yrange [0:*]\n"
         << "set title 'attainment, percent'\nplot ";
  for (size_t i = 0; i < result.scenario_.classes_.size(); ++i) {
    script << (i > 0 ? ", " : "") << "'" << name << ".dat' using " << i + 4
           << ":xtic(1) title '"
           << result.scenario_.classes_[i].class_.name_.value() << "'";
  }
  script << "\nset title 'goodput, tokens per second'\nplot '" << name
         << ".dat' using 2:xtic(1) notitle\n"
         << "set title 'wasted tokens, percent'\nplot '" << name
         << ".dat' using 3:xtic(1) notitle\nunset multiplot\n";
  return script.str();
}

}  // namespace

Result<std::vector<ExperimentResult>> RunExperiment(
    const ExperimentOptions& options) {
  const auto kinds = FindPolicies(options.policies_);
  if (!kinds.ok()) {
    return kinds.error();
  }
  const auto users = options.users_.empty() ? ScenarioUsers() : options.users_;
  const auto names =
      options.scenarios_.empty() ? ScenarioNames() : options.scenarios_;
  std::vector<ExperimentResult> results;
  for (const std::string& user : users) {
    for (const std::string& name : names) {
      const Result<Scenario> scenario = MakeScenario(user, name);
      if (!scenario.ok()) {
        return scenario.error();
      }
      results.push_back(
          RunScenario(scenario.value(), kinds.value(), options.seeds_));
    }
  }
  return results;
}

std::string FormatTable(const std::vector<ExperimentResult>& results) {
  std::string table;
  for (const ExperimentResult& result : results) {
    table += "# " + result.scenario_.user_ + " " + result.scenario_.name_ +
             "\n" + FormatHeader(result.reports_.front());
    for (const Report& report : result.reports_) {
      table += FormatReport(report);
    }
    table += "\n";
  }
  return table;
}

Status WritePlots(const std::vector<ExperimentResult>& results,
                  const std::string& folder) {
  for (const ExperimentResult& result : results) {
    const std::string path = folder + "/" + PlotName(result);
    std::ofstream data(path + ".dat");
    data << PlotData(result);
    std::ofstream script(path + ".gp");
    script << PlotScript(result);
    if (!data || !script) {
      return Error(ErrorCode::kNotFound, "can't write " + path);
    }
  }
  return Done();
}

int ExperimentMain(const ExperimentOptions& options) {
  const auto results = RunExperiment(options);
  if (!results.ok()) {
    std::cerr << results.error().Message() << "\n";
    return 2;
  }
  std::cout << FormatTable(results.value());
  if (options.plot_folder_.empty()) {
    return 0;
  }
  const Status written = WritePlots(results.value(), options.plot_folder_);
  if (!written.ok()) {
    std::cerr << written.error().Message() << "\n";
    return 1;
  }
  return 0;
}

std::vector<std::string> SplitList(const std::string& list) {
  std::vector<std::string> parts;
  std::istringstream stream(list);
  for (std::string part; std::getline(stream, part, ',');) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

}  // namespace bergamotscale::lab
