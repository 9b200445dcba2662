// Simulates plain proxies in front of the engines, for comparison.
#ifndef BERGAMOTSCALE_SRC_LAB_PROXY_SIMULATION_H_
#define BERGAMOTSCALE_SRC_LAB_PROXY_SIMULATION_H_

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "src/lab/arrivals.h"
#include "src/lab/event_loop.h"
#include "src/lab/fault_schedule.h"
#include "src/lab/recorder.h"
#include "src/lab/scenario.h"
#include "src/policy/baselines.h"

namespace bergamotscale::lab {

// Each entry sends a request to one engine as soon as it arrives. See
// PolicyKind. Thread safety: none.
class ProxySimulation {
 public:
  // Keeps references to all arguments, which must outlive it.
  ProxySimulation(const Scenario& scenario,
                  const std::vector<Arrival>& arrivals,
                  Recorder& recorder,
                  uint64_t seed,
                  policy::Baseline baseline);

  void Run();

 private:
  struct Request {
    bool ended_ = false;
    bool caller_left_ = false;
    int engine_ = -1;
    int64_t sequence_ = -1;
    int retries_ = 0;
  };
  struct Entry {
    policy::BaselineDispatcher dispatcher_;
    std::vector<int> own_running_;
  };

  void OnArrival(int request);
  void Send(int request);
  void Submit(int request, int engine);
  void OnEvent(int engine, const emulator::EngineEvent& event);
  void OnToken(int request, const emulator::EngineEvent& event);
  void OnCrash(int engine);
  void RemoveFromEngine(int request);
  void OnTimeout(int request);
  void OnCallerLeft(int request);
  std::vector<policy::UpstreamView> Views() const;
  int EntryOf(int request) const { return arrivals_[request].entry_; }

  const Scenario& scenario_;
  const std::vector<Arrival>& arrivals_;
  Recorder& recorder_;
  EventLoop loop_;
  std::vector<std::unique_ptr<SimEngine>> owned_engines_;
  SimEngines engines_;
  std::vector<Entry> entries_;
  std::vector<Request> requests_;
  int64_t next_sequence_ = 0;
  std::unordered_map<int64_t, int> request_of_;
};

}  // namespace bergamotscale::lab

#endif  // BERGAMOTSCALE_SRC_LAB_PROXY_SIMULATION_H_
