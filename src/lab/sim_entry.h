// Simulates an entry.
#ifndef BERGAMOTSCALE_SRC_LAB_SIM_ENTRY_H_
#define BERGAMOTSCALE_SRC_LAB_SIM_ENTRY_H_

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "src/lab/arrivals.h"
#include "src/lab/event_loop.h"
#include "src/lab/recorder.h"
#include "src/lab/scenario.h"
#include "src/lab/sim_sidecar.h"
#include "src/policy/admission.h"
#include "src/policy/dispatcher.h"
#include "src/policy/output_estimator.h"
#include "src/policy/quarantine.h"
#include "src/policy/retry_budget.h"

namespace bergamotscale::lab {

// Callbacks of an entry into the simulation.
struct EntryHooks {
  // Runs a callback on a sidecar after the message delay.
  std::function<void(int sidecar, std::function<void(SimSidecar&)>)> send_;
  // Called when a request has ended without a complete answer; its caller may
  // retry it.
  std::function<void(int request)> unanswered_;
};

// @return the handle of one reservation, which identifies the request and the
// attempt.
uint64_t MakeHandle(int request, int attempt);
int RequestOf(uint64_t handle);

// An entry that makes its decisions with the code of src/policy. Thread safety:
// none.
class SimEntry {
 public:
  // Keeps references to the loop, the scenario, the arrivals and the recorder,
  // which must outlive it.
  SimEntry(EventLoop& loop,
           const Scenario& scenario,
           const std::vector<Arrival>& arrivals,
           Recorder& recorder,
           int index,
           uint64_t seed,
           bool fifo,
           EntryHooks hooks);

  void OnArrival(int request);
  void OnCallerLeft(int request);

  // Messages from sidecars.
  void OnGranted(int sidecar, uint64_t handle);
  void OnToken(uint64_t handle, int64_t index, Micros at);
  void OnFinished(uint64_t handle, Micros at);
  void OnLost(int sidecar, uint64_t handle);
  void OnRefused(int sidecar, uint64_t handle);
  void OnCrashRecords(const std::vector<policy::CrashRecord>& records);
  void OnStatus(int sidecar, const policy::UpstreamView& view, Micros sent);

 private:
  struct Request {
    int attempt_ = 0;
    bool suspect_ = false;
    int running_at_ = -1;
    std::vector<int> reserved_at_;
    int64_t delivered_ = 0;
    policy::DispatchRequest dispatch_;
  };

  Request* Find(uint64_t handle);
  void Dispatch(int request);
  void ScheduleSuspectTimeout(int request);
  void Reserve(int request, int sidecar);
  void Start(int request, int sidecar);
  void Withdraw(Request& state, int request);
  bool Admit(int request);
  void End(int request);
  void Reject(int request);
  void OnTimeout(int request);
  void UpdateViewAges();
  void RefreshDispatcher();
  const ClassWorkload& WorkloadOf(int request) const;

  EventLoop& loop_;
  const Scenario& scenario_;
  const std::vector<Arrival>& arrivals_;
  Recorder& recorder_;
  bool fifo_;
  EntryHooks hooks_;
  policy::Dispatcher dispatcher_;
  policy::Admission admission_;
  policy::OutputEstimator estimator_;
  policy::RetryBudget budget_;
  policy::Quarantine quarantine_;
  std::vector<policy::UpstreamView> views_;
  std::vector<Micros> reported_at_;
  Micros refreshed_at_;
  std::unordered_map<int, Request> requests_;
};

}  // namespace bergamotscale::lab

#endif  // BERGAMOTSCALE_SRC_LAB_SIM_ENTRY_H_
