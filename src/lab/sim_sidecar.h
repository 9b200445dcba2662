// Simulates a sidecar with its engine.
#ifndef BERGAMOTSCALE_SRC_LAB_SIM_SIDECAR_H_
#define BERGAMOTSCALE_SRC_LAB_SIM_SIDECAR_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

#include "src/lab/event_loop.h"
#include "src/lab/scenario.h"
#include "src/lab/sim_engine.h"
#include "src/policy/batch_target.h"
#include "src/policy/concurrency_limiter.h"
#include "src/policy/quarantine.h"
#include "src/policy/types.h"
#include "src/policy/work_queue.h"

namespace bergamotscale::lab {

// Messages from a sidecar to the entry that placed a reservation, by its
// handle.
struct SidecarHooks {
  std::function<void(uint64_t)> granted_;
  std::function<void(uint64_t, int64_t index)> token_;
  // The first token was generated; `cached` tokens of the prompt were cached.
  std::function<void(uint64_t, Tokens cached)> prefilled_;
  std::function<void(uint64_t)> finished_;
  // The engine crashed while it ran the request.
  std::function<void(uint64_t)> lost_;
  // The request was waiting and was not executed.
  std::function<void(uint64_t)> refused_;
  std::function<void(uint64_t)> preempted_;
  std::function<void()> crashed_;
  // Changed crash records, to be sent to all entries.
  std::function<void(const std::vector<policy::CrashRecord>&)> crash_records_;
};

// A sidecar that makes its decisions with the code of src/policy. Thread
// safety: none.
class SimSidecar {
 public:
  // Keeps references to the loop and the scenario, which must outlive it.
  SimSidecar(EventLoop& loop,
             const Scenario& scenario,
             int index,
             uint64_t seed,
             bool fifo,
             SidecarHooks hooks);

  void Reserve(const policy::QueueItem& item);
  // Precondition: the handle has a grant.
  void Work(uint64_t handle,
            emulator::EngineRequest request,
            const std::vector<uint64_t>& prefixes);
  // Withdraws a reservation, declines a grant or cancels a running request,
  // depending on the state of the handle.
  void Reset(uint64_t handle);

  // @return the status that is sent to entries.
  policy::UpstreamView Status() const;

  SimEngine& engine() { return *engine_; }

 private:
  struct Running {
    policy::QueueItem item_;
    uint64_t digest_ = 0;
    Millis started_;
    Millis last_token_;
    Millis first_token_;
    Millis between_tokens_target_;
    int64_t generated_ = 0;
  };

  void GrantNext();
  void OnEvent(const emulator::EngineEvent& event);
  void OnToken(uint64_t handle, int64_t index);
  void OnFinished(uint64_t handle);
  void OnCrash();
  Millis BetweenTokensTarget(const ClassId& class_id) const;
  void RecordPrefixes(const std::vector<uint64_t>& prefixes);

  EventLoop& loop_;
  const Scenario& scenario_;
  int index_;
  bool fifo_;
  SidecarHooks hooks_;
  std::unique_ptr<SimEngine> engine_;
  policy::WorkQueue queue_;
  policy::ConcurrencyLimiter limiter_;
  policy::BatchTarget batch_target_;
  policy::Quarantine quarantine_;
  std::unordered_map<uint64_t, policy::QueueItem> waiting_;
  std::unordered_map<uint64_t, policy::QueueItem> granted_;
  std::unordered_map<uint64_t, Running> running_;
  std::deque<uint64_t> prefixes_;  // newest last
};

}  // namespace bergamotscale::lab

#endif  // BERGAMOTSCALE_SRC_LAB_SIM_SIDECAR_H_
