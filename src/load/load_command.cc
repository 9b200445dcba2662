#include "src/load/load_command.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <gflags/gflags.h>

#include "bergamotscale/clock.h"
#include "src/http/client.h"
#include "src/load/load_report.h"
#include "src/load/load_run.h"
#include "src/load/workload.h"

DEFINE_string(entries, "", "URLs of entries, separated by commas");
DEFINE_string(engines,
              "",
              "URLs of emulated engines, whose journals show the wasted "
              "tokens; optional");
DEFINE_string(mix, "tagworks", "workload: tagworks or stoves");
DEFINE_uint64(seed, 1, "seed of the arrivals");
DEFINE_double(rate, 10, "arrivals per second without the burst");
DEFINE_double(seconds, 30, "time during which requests arrive");
DEFINE_string(burst_class, "", "class that bursts; empty for none");
DEFINE_double(burst_factor, 5, "factor on the arrivals of that class");
DEFINE_double(burst_start, 10, "start of the burst, in seconds");
DEFINE_double(burst_seconds, 10, "length of the burst, in seconds");
DEFINE_double(leavers, 0, "fraction of callers that disconnect early");
DEFINE_int32(crashing, 0, "number of requests that crash their engine");
DEFINE_string(keys,
              "",
              "workspace keys, largest workspace first; empty for those of "
              "--print_config");
DEFINE_bool(print_config,
            false,
            "print a configuration that fits the workload and exit");
DEFINE_string(json, "", "file for the report as JSON");

namespace bergamotscale::load {
namespace {

constexpr int kExitWrongResponse = 1;
constexpr int kExitUsage = 2;
constexpr double kMillisPerSecond = 1000;
// Time allowed for cancelled generations to end, at their next token.
constexpr Millis kSettleTime = Millis(500);

Millis ToMillis(double seconds) {
  return Millis(static_cast<int64_t>(seconds * kMillisPerSecond));
}

std::vector<std::string> SplitCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

WorkloadOptions OptionsFromFlags() {
  WorkloadOptions options;
  options.mix_ = FLAGS_mix == "stoves" ? Mix::kStoves : Mix::kTagworks;
  options.seed_ = FLAGS_seed;
  options.length_ = ToMillis(FLAGS_seconds);
  options.requests_per_second_ = FLAGS_rate;
  options.early_leavers_ = FLAGS_leavers;
  options.crashing_requests_ = FLAGS_crashing;
  if (!FLAGS_burst_class.empty()) {
    options.burst_ =
        Burst{ClassId(FLAGS_burst_class), ToMillis(FLAGS_burst_start),
              ToMillis(FLAGS_burst_seconds), FLAGS_burst_factor};
  }
  return options;
}

// @return the tokens of all executions that the engines started since then. If
// a journal can't be read, prints the error and returns a negative number.
Tokens ReadJournals(const std::vector<std::string>& engines, Millis since) {
  Tokens written(0);
  for (const std::string& engine : engines) {
    http::Call call;
    call.url_ = engine + "/journal";
    const Result<http::Reply> reply = http::CallAndWait(call);
    if (!reply.ok()) {
      std::cerr << engine << ": " << reply.error().Message() << "\n";
      return Tokens(-1);
    }
    const Result<Tokens> tokens = TokensWritten(reply.value().body_, since);
    if (!tokens.ok()) {
      std::cerr << engine << ": " << tokens.error().Message() << "\n";
      return Tokens(-1);
    }
    written += tokens.value();
  }
  return written;
}

LoadReport RunAndReport(const LoadRunOptions& run,
                        const WorkloadOptions& options) {
  const std::vector<Arrival> arrivals = GenerateArrivals(options);
  const Clock wall = Clock::Wall();
  const Millis start = wall.Now();
  const std::vector<RequestResult> results =
      RunLoad(run, options.mix_, arrivals);
  const double seconds =
      static_cast<double>((wall.Now() - start).count()) / kMillisPerSecond;
  LoadReport report = MakeReport(options.mix_, options, seconds, results);
  const std::vector<std::string> engines = SplitCommas(FLAGS_engines);
  if (!engines.empty()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(kSettleTime.count()));
    report.written_ = ReadJournals(engines, start);
  }
  return report;
}

int64_t CountWrongResponses(const LoadReport& report) {
  int64_t wrong = 0;
  for (const ClassReport& each : report.classes_) {
    wrong += each.wrong_;
  }
  return wrong;
}

}  // namespace

int RunLoadCommand() {
  const WorkloadOptions options = OptionsFromFlags();
  if (FLAGS_mix != "stoves" && FLAGS_mix != "tagworks") {
    std::cerr << "--mix: expected tagworks or stoves\n";
    return kExitUsage;
  }
  if (FLAGS_print_config) {
    std::cout << SerializeConfigDocument(MakeMixConfig(options.mix_)) << "\n";
    return 0;
  }
  LoadRunOptions run;
  run.entry_urls_ = SplitCommas(FLAGS_entries);
  run.keys_ = SplitCommas(FLAGS_keys);
  if (run.entry_urls_.empty()) {
    std::cerr << "--entries: expected at least one URL\n";
    return kExitUsage;
  }
  const LoadReport report = RunAndReport(run, options);
  std::cout << FormatTable(report);
  if (!FLAGS_json.empty()) {
    std::ofstream(FLAGS_json) << FormatJson(report);
  }
  return CountWrongResponses(report) > 0 ? kExitWrongResponse : 0;
}

}  // namespace bergamotscale::load
