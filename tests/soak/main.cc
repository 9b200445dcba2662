// bergamot_gateway_soak: soaks gateways as real processes, by hand.
#include <algorithm>
#include <csignal>
#include <iostream>

#include <gflags/gflags.h>
#include <boost/filesystem.hpp>

#include "tests/soak/gateway_soak.h"

DEFINE_int32(first_seed, 1, "the first seed");
DEFINE_int32(seeds, 1, "number of seeds, one after another");
DEFINE_int32(seconds, 20, "time under faults for each seed");
DEFINE_int32(gateways, 5, "number of gateways");
DEFINE_int32(engines, 9, "number of engines");
DEFINE_int32(apps, 3, "number of application servers");
DEFINE_int32(callers, 80, "number of callers");
DEFINE_bool(planned_only, false, "only planned stops and configurations");
DEFINE_string(folder, "", "receives a folder of logs for each seed");

int main(int argc, char** argv) {
  gflags::SetUsageMessage("soaks gateways; exits with 1 if a rule is broken");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  int broken = 0;
  for (int seed = FLAGS_first_seed; seed < FLAGS_first_seed + FLAGS_seeds;
       ++seed) {
    bergamotscale::tests::SoakOptions options;
    options.seed_ = static_cast<uint64_t>(seed);
    options.duration_ = bergamotscale::Millis(FLAGS_seconds * int64_t{1'000});
    options.gateways_ = FLAGS_gateways;
    options.engines_ = FLAGS_engines;
    options.apps_ = FLAGS_apps;
    options.callers_ = FLAGS_callers;
    options.planned_only_ = FLAGS_planned_only;
    options.folder_ = FLAGS_folder + "/seed-" + std::to_string(seed);
    boost::filesystem::create_directories(options.folder_);
    const auto result = bergamotscale::tests::RunGatewaySoak(options);
    std::cout << "seed " << seed << ": " << result.requests_ << " requests, "
              << result.served_ << " served, " << result.refused_
              << " refused, " << result.starts_ << " starts, " << result.faults_
              << " faults, " << result.taken_up_ << " take-ups, "
              << result.gone_on_ << " went on, " << result.violations_.size()
              << " violations" << std::endl;
    for (const std::string& violation : result.violations_) {
      std::cout << "  " << violation << "\n";
    }
    broken += result.violations_.empty() ? 0 : 1;
  }
  std::cout << broken << " of " << FLAGS_seeds << " seeds broken" << std::endl;
  return std::min(broken, 1);
}
