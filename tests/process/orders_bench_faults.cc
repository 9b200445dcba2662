// Injects the faults of OrdersBench.
#include <algorithm>
#include <thread>

#include "tests/process/orders_bench.h"

namespace bergamotscale::tests {
namespace {

constexpr int kPairs = 2;
constexpr int kCallers = 8;
const Millis kFaultCallTimeout(2500);
constexpr std::chrono::milliseconds kFaultTime(3500);
constexpr std::chrono::milliseconds kBeforeFault(500);
constexpr std::chrono::milliseconds kAfterFault(700);
constexpr std::chrono::milliseconds kCutPause(250);

// @return whether the fault is set by a call to the log.
bool IsLogFault(Fault fault) {
  return fault >= Fault::kLogDown && fault <= Fault::kLogSilent;
}

}  // namespace

const char* FaultName(Fault fault) {
  constexpr const char* kNames[kFaultCount] = {
      "kill entry", "kill sidecar", "kill service",      "kill log",
      "stop entry", "stop sidecar", "stop service",      "stop log",
      "log down",   "log slow",     "log loses answers", "log silent",
      "cut link",   "silent link"};
  return kNames[static_cast<int>(fault)];
}

void OrdersBench::Run(const std::vector<Fault>& faults) {
  RunFor(faults, kFaultTime);
}

void OrdersBench::RunFor(const std::vector<Fault>& faults,
                         std::chrono::milliseconds fault_time) {
  calling_ = true;
  std::vector<std::thread> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    const uint64_t seed = random_();
    callers.emplace_back([this, seed] { RunCaller(seed); });
  }
  std::this_thread::sleep_for(kBeforeFault);
  // Faults that are set by a call to the log come first, as the log can't
  // receive the call after its process is killed or stopped.
  std::vector<Fault> ordered = faults;
  std::stable_partition(ordered.begin(), ordered.end(), IsLogFault);
  for (const Fault fault : ordered) {
    BeginFault(fault);
    std::this_thread::sleep_for(std::chrono::milliseconds(random_() % 300));
  }
  const auto end = std::chrono::steady_clock::now() + fault_time;
  while (std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kCutPause);
    CutLinkIfRequested(faults);
  }
  for (auto fault = ordered.rbegin(); fault != ordered.rend(); ++fault) {
    EndFault(*fault);
  }
  std::this_thread::sleep_for(kAfterFault);
  calling_ = false;
  for (std::thread& caller : callers) {
    caller.join();
  }
}

std::string OrdersBench::PickInstance(const std::string& kind) {
  return kind + "-" + std::to_string(random_() % kPairs + 1);
}

void OrdersBench::PostLogFaults(const std::string& text) {
  http::Call call;
  call.method_ = "POST";
  call.url_ = UrlOf("log") + "/faults";
  call.body_ = text;
  call.timeout_ = kFaultCallTimeout;
  http::CallAndWait(call);
}

void OrdersBench::CutLinkIfRequested(const std::vector<Fault>& faults) {
  const bool cut =
      std::find(faults.begin(), faults.end(), Fault::kCutLink) != faults.end();
  if (cut) {
    relays_[random_() % relays_.size()]->Cut();
  }
}

void OrdersBench::BeginFault(Fault fault) {
  switch (fault) {
    case Fault::kKillEntry:
    case Fault::kStopEntry:
      targets_[fault] = PickInstance("entry");
      break;
    case Fault::kKillSidecar:
    case Fault::kStopSidecar:
      targets_[fault] = PickInstance("sidecar");
      break;
    case Fault::kKillService:
    case Fault::kStopService:
      targets_[fault] = PickInstance("service");
      break;
    case Fault::kKillLog:
    case Fault::kStopLog:
      targets_[fault] = "log";
      break;
    case Fault::kLogDown:
      PostLogFaults(R"({"down": true})");
      return;
    case Fault::kLogSlow:
      PostLogFaults(R"({"slow_ms": 700})");
      return;
    case Fault::kLogLosesAnswers:
      PostLogFaults(R"({"lose_answers": -1})");
      return;
    case Fault::kLogSilent:
      PostLogFaults(R"({"silent": true})");
      return;
    case Fault::kCutLink:
      return;
    case Fault::kSilentLink:
      relays_[random_() % relays_.size()]->Freeze();
      return;
  }
  const bool stop = fault >= Fault::kStopEntry;
  nodes_.at(targets_[fault]).process_->Signal(stop ? SIGSTOP : SIGKILL);
}

void OrdersBench::EndFault(Fault fault) {
  switch (fault) {
    case Fault::kKillEntry:
    case Fault::kKillSidecar:
    case Fault::kKillService:
    case Fault::kKillLog:
      StartProcess(targets_[fault]);
      WaitUntilOk(UrlOf(targets_[fault]) + "/healthz");
      return;
    case Fault::kStopEntry:
    case Fault::kStopSidecar:
    case Fault::kStopService:
    case Fault::kStopLog:
      nodes_.at(targets_[fault]).process_->Signal(SIGCONT);
      return;
    case Fault::kLogDown:
    case Fault::kLogSlow:
    case Fault::kLogLosesAnswers:
    case Fault::kLogSilent:
      PostLogFaults(R"({"down": false, "slow_ms": 0, "lose_answers": 0,
                        "silent": false})");
      return;
    case Fault::kCutLink:
    case Fault::kSilentLink:
      return;
  }
}

}  // namespace bergamotscale::tests
