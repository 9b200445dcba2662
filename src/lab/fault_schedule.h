// Schedules the faults of a scenario and the sampling of the engines.
#ifndef BERGAMOTSCALE_SRC_LAB_FAULT_SCHEDULE_H_
#define BERGAMOTSCALE_SRC_LAB_FAULT_SCHEDULE_H_

#include <vector>

#include "src/lab/event_loop.h"
#include "src/lab/recorder.h"
#include "src/lab/scenario.h"
#include "src/lab/sim_engine.h"

namespace bergamotscale::lab {

using SimEngines = std::vector<SimEngine*>;

// One-way delay between processes.
Micros DelayBetween(int zone, int other_zone);

// One-way delay between an entry and a caller.
inline constexpr Micros kCallerDelay = Micros(1000);

// All arguments must outlive the run of the loop.
void ScheduleFaults(const Faults& faults,
                    EventLoop& loop,
                    const SimEngines& engines);
void ScheduleSamples(EventLoop& loop,
                     const SimEngines& engines,
                     Recorder& recorder);

}  // namespace bergamotscale::lab

#endif  // BERGAMOTSCALE_SRC_LAB_FAULT_SCHEDULE_H_
