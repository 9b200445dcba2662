// bergamot_log_check: checks log lines of gateways from standard input.
#include <iostream>
#include <string>

#include <gflags/gflags.h>

#include "src/gateway/decision_history.h"

namespace {

constexpr int kExitFindings = 1;
constexpr int kExitUsage = 2;

}  // namespace

int main(int argc, char** argv) {
  gflags::SetVersionString(BERGAMOTSCALE_VERSION);
  gflags::SetUsageMessage(
      "bergamot_log_check < LOG checks what gateways logged: exits with 1 if "
      "a rule is broken, with 2 if the log has no call");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  bergamotscale::gateway::DecisionHistory history;
  std::string line;
  while (std::getline(std::cin, line)) {
    history.AddLine(line);
  }
  const auto findings = history.Findings();
  for (const auto& finding : findings) {
    std::cout << "line " << finding.line_ << ": "
              << bergamotscale::gateway::DecisionRuleName(finding.rule_) << ": "
              << finding.detail_ << "\n";
  }
  std::cout << history.calls() << " calls, " << findings.size()
            << " findings\n";
  if (history.calls() == 0) {
    std::cerr << "no line with call=N: expected the output of gateways\n";
    return kExitUsage;
  }
  return findings.empty() ? 0 : kExitFindings;
}
