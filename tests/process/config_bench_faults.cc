// Injects the faults of ConfigBench.
#include <nlohmann/json.hpp>

#include "bergamotscale/clock.h"
#include "tests/process/config_bench.h"

namespace bergamotscale::tests {
namespace {

constexpr int kPairs = 2;
const Millis kFaultCallTimeout(2000);

Millis Now() {
  return Clock::Steady().Now();
}

}  // namespace

const char* FaultName(ConfigFault fault) {
  constexpr const char* kNames[kConfigFaultCount] = {
      "kill entry",     "kill sidecar",       "kill console",      "kill log",
      "stop entry",     "stop sidecar",       "stop console",      "stop log",
      "log down",       "log slow",           "log loses answers", "log silent",
      "retention lost", "start in an outage", "restart of all",    "cut links",
      "silent links"};
  return kNames[static_cast<int>(fault)];
}

void ConfigBench::PostLogFaults(const std::string& text) {
  http::Call call;
  call.method_ = "POST";
  call.url_ = nodes_.at("log").url_ + "/faults";
  call.body_ = text;
  call.timeout_ = kFaultCallTimeout;
  http::CallAndWait(call);
}

void ConfigBench::BeginFault(ConfigFault fault) {
  const std::string number = std::to_string(random_() % kPairs + 1);
  switch (fault) {
    case ConfigFault::kKillEntry:
    case ConfigFault::kStopEntry:
      targets_[fault] = "entry-" + number;
      break;
    case ConfigFault::kKillSidecar:
    case ConfigFault::kStopSidecar:
      targets_[fault] = "sidecar-" + number;
      break;
    case ConfigFault::kKillConsole:
    case ConfigFault::kStopConsole:
      targets_[fault] = "console";
      break;
    case ConfigFault::kKillLog:
    case ConfigFault::kStopLog:
      targets_[fault] = "log";
      break;
    case ConfigFault::kLogDown:
    case ConfigFault::kStartInOutage:
      PostLogFaults(R"({"down": true})");
      return;
    case ConfigFault::kLogSlow:
      PostLogFaults(R"({"slow_ms": 700})");
      return;
    case ConfigFault::kLogLosesAnswers:
      PostLogFaults(R"({"lose_answers": -1})");
      return;
    case ConfigFault::kLogSilent:
      PostLogFaults(R"({"silent": true})");
      return;
    case ConfigFault::kSilentLinks:
      for (const std::unique_ptr<testing::Relay>& relay : relays_) {
        relay->Freeze();
      }
      return;
    case ConfigFault::kRetentionLost:
    case ConfigFault::kRestartAll:
    case ConfigFault::kCutLinks:
      return;
  }
  const bool stop = fault >= ConfigFault::kStopEntry;
  Signal(targets_[fault], stop ? SIGSTOP : SIGKILL);
}

void ConfigBench::RestartDuringFaults() {
  if (HasFault(ConfigFault::kStartInOutage)) {
    StartAndWait("entry-1");
    StartAndWait("sidecar-1");
    history_.recovered_since_["entry-1"] = Now();
    history_.recovered_since_["sidecar-1"] = Now();
  }
  if (HasFault(ConfigFault::kRestartAll)) {
    RestartAll();
  }
}

// Except the log, which has its own fault, kKillLog.
void ConfigBench::RestartAll() {
  for (const std::string& name : history_.followers_) {
    StartAndWait(name);
    history_.recovered_since_[name] = Now();
  }
}

void ConfigBench::EndFault(ConfigFault fault) {
  const auto found = targets_.find(fault);
  if (found == targets_.end()) {
    return;
  }
  if (fault >= ConfigFault::kStopEntry) {
    Signal(found->second, SIGCONT);
  } else {
    StartAndWait(found->second);
  }
  history_.recovered_since_[found->second] = Now();
}

// While the log is down, a restarted process can get the revision only from
// peers.
void ConfigBench::CheckLearnedFromPeers() {
  const int64_t known = nodes_.at("entry-2").revision_;
  for (const char* name : {"entry-1", "sidecar-1"}) {
    if (FetchRevision(nodes_.at(name)) < known) {
      violations_.push_back(
          std::string("didn't get the revision from peers: ") + name);
    }
  }
}

}  // namespace bergamotscale::tests
