// Puts the faults of a scenario on the agenda, and samples the engines.
#ifndef BERGAMOTSCALE_SRC_LAB_FAULT_SCHEDULE_H_
#define BERGAMOTSCALE_SRC_LAB_FAULT_SCHEDULE_H_

#include <vector>

#include "src/lab/event_loop.h"
#include "src/lab/recorder.h"
#include "src/lab/scenario.h"
#include "src/lab/sim_engine.h"

namespace bergamotscale::lab {

using SimEngines = std::vector<SimEngine*>;

// One way between processes: half a millisecond within a zone.
Micros DelayBetween(int zone, int other_zone);

// One way between an entry and a caller.
inline constexpr Micros kCallerDelay = Micros(1000);

// All arguments must outlive the loop's run.
void ScheduleFaults(const Faults& faults,
                    EventLoop& loop,
                    const SimEngines& engines);
void ScheduleSamples(EventLoop& loop,
                     const SimEngines& engines,
                     Recorder& recorder);

}  // namespace bergamotscale::lab

#endif  // BERGAMOTSCALE_SRC_LAB_FAULT_SCHEDULE_H_
