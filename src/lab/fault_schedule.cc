#include "src/lab/fault_schedule.h"

namespace bergamotscale::lab {

namespace {

constexpr Micros kSampleInterval = Micros(10'000);
constexpr Micros kSameZoneDelay = Micros(500);
constexpr Micros kOtherZoneDelay = Micros(1000);

}  // namespace

Micros DelayBetween(int zone, int other_zone) {
  return zone == other_zone ? kSameZoneDelay : kOtherZoneDelay;
}

void ScheduleFaults(const Faults& faults,
                    EventLoop& loop,
                    const SimEngines& engines) {
  if (faults.crash_engine_ >= 0) {
    SimEngine& engine = *engines[faults.crash_engine_];
    loop.ScheduleAt(emulator::ToMicros(faults.crash_at_),
                    [&engine] { engine.Crash(); });
  }
  if (faults.straggler_engine_ >= 0) {
    SimEngine& engine = *engines[faults.straggler_engine_];
    const double factor = faults.straggler_factor_;
    loop.ScheduleAt(emulator::ToMicros(faults.straggler_from_),
                    [&engine, factor] { engine.SetStragglerFactor(factor); });
    loop.ScheduleAt(emulator::ToMicros(faults.straggler_to_),
                    [&engine] { engine.SetStragglerFactor(1); });
  }
}

void ScheduleSamples(EventLoop& loop,
                     const SimEngines& engines,
                     Recorder& recorder) {
  loop.ScheduleAfter(kSampleInterval, [&loop, &engines, &recorder] {
    for (const SimEngine* engine : engines) {
      if (engine->up()) {
        recorder.Sample(loop.now(), engine->running());
      }
    }
    ScheduleSamples(loop, engines, recorder);
  });
}

}  // namespace bergamotscale::lab
