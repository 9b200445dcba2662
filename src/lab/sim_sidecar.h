// A sidecar with its engine in a simulation.
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

// What a sidecar tells the entry that placed a reservation, by its handle.
struct SidecarHooks {
  std::function<void(uint64_t)> granted_;
  std::function<void(uint64_t, int64_t index)> token_;
  // The first token came, after a prefill that the cache had shortened.
  std::function<void(uint64_t, Tokens cached)> prefilled_;
  std::function<void(uint64_t)> finished_;
  // Its engine crashed under it.
  std::function<void(uint64_t)> lost_;
  // It was waiting, and didn't run.
  std::function<void(uint64_t)> refused_;
  std::function<void(uint64_t)> preempted_;
  std::function<void()> crashed_;
  // To all entries.
  std::function<void(const std::vector<policy::SuspicionRecord>&)> suspicion_;
};

// Thread safety: none.
class SimSidecar {
 public:
  // Keeps references to loop and scenario, which must outlive it.
  SimSidecar(EventLoop& loop,
             const Scenario& scenario,
             int index,
             uint64_t seed,
             bool fifo,
             SidecarHooks hooks);

  void Reserve(const policy::QueueItem& item);
  // Precondition: granted to that handle.
  void Work(uint64_t handle,
            emulator::EngineRequest request,
            const std::vector<uint64_t>& prefixes);
  // Withdraws, turns down or cancels, whatever the handle stands for.
  void Reset(uint64_t handle);

  // @return the state as it is sent to entries; only waits and counts change.
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
    int64_t written_ = 0;
  };

  void Pump();
  void OnEvent(const emulator::EngineEvent& event);
  void OnToken(uint64_t handle, int64_t index);
  void OnFinished(uint64_t handle);
  void OnCrash();
  Millis TargetOf(const ClassId& class_id) const;
  void RememberPrefixes(const std::vector<uint64_t>& prefixes);

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
