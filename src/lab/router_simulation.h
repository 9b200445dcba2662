// Simulates the entries and sidecars of the router in one event loop.
#ifndef BERGAMOTSCALE_SRC_LAB_ROUTER_SIMULATION_H_
#define BERGAMOTSCALE_SRC_LAB_ROUTER_SIMULATION_H_

#include <memory>
#include <unordered_map>
#include <vector>

#include "src/lab/arrivals.h"
#include "src/lab/event_loop.h"
#include "src/lab/fault_schedule.h"
#include "src/lab/recorder.h"
#include "src/lab/scenario.h"
#include "src/lab/sim_entry.h"
#include "src/lab/sim_sidecar.h"

namespace bergamotscale::lab {

// The entries and sidecars of the router, with message delays instead of
// sockets. Thread safety: none.
class RouterSimulation {
 public:
  // Keeps references to all arguments, which must outlive it.
  // @param fifo first in, first out: no classes and no rejections.
  RouterSimulation(const Scenario& scenario,
                   const std::vector<Arrival>& arrivals,
                   Recorder& recorder,
                   uint64_t seed,
                   bool fifo);

  void Run();

 private:
  EntryHooks HooksOfEntry(int entry);
  SidecarHooks HooksOfSidecar(int sidecar);
  void SendToEntry(int sidecar,
                   uint64_t handle,
                   std::function<void(SimEntry&)> message);
  void SendStatus();
  void Retry(int request);
  Micros Delay(int entry, int sidecar) const;
  SimEntry& EntryOf(int request);

  const Scenario& scenario_;
  const std::vector<Arrival>& arrivals_;
  Recorder& recorder_;
  EventLoop loop_;
  std::vector<std::unique_ptr<SimSidecar>> sidecars_;
  SimEngines engines_;
  std::vector<std::unique_ptr<SimEntry>> entries_;
  // Number of retries by the caller of a crashing request.
  std::unordered_map<int, int> retries_;
};

}  // namespace bergamotscale::lab

#endif  // BERGAMOTSCALE_SRC_LAB_ROUTER_SIMULATION_H_
