#include "src/lab/sim_engine.h"

#include <optional>
#include <utility>

namespace bergamotscale::lab {

SimEngine::SimEngine(EventLoop& loop,
                     const emulator::EngineParameters& parameters,
                     Listener listener)
    : loop_(loop), model_(parameters), listener_(std::move(listener)) {}

bool SimEngine::Submit(const emulator::EngineRequest& request) {
  const bool accepted = model_.Submit(request, loop_.now());
  Schedule();
  return accepted;
}

void SimEngine::Cancel(emulator::SequenceId id) {
  model_.Cancel(id, loop_.now());
}

void SimEngine::Crash() {
  std::vector<emulator::EngineEvent> events;
  model_.CrashNow(loop_.now(), &events);
  NotifyListener(events);
}

void SimEngine::Restart() {
  model_.Restart(loop_.now());
  scheduled_ = Micros(-1);
}

void SimEngine::SetStragglerFactor(double factor) {
  model_.SetStragglerFactor(factor);
}

void SimEngine::Schedule() {
  const std::optional<Micros> next = model_.NextEventTime();
  if (!next || *next == scheduled_) {
    return;
  }
  scheduled_ = *next;
  loop_.ScheduleAt(*next, [this, at = *next] {
    if (scheduled_ == at) {
      Step();
    }
  });
}

void SimEngine::Step() {
  std::vector<emulator::EngineEvent> events;
  model_.Advance(loop_.now(), &events);
  NotifyListener(events);
  Schedule();
}

void SimEngine::NotifyListener(
    const std::vector<emulator::EngineEvent>& events) {
  for (const emulator::EngineEvent& event : events) {
    listener_(event);
  }
}

}  // namespace bergamotscale::lab
