// Runs an engine model in the event loop of a simulation.
#ifndef BERGAMOTSCALE_SRC_LAB_SIM_ENGINE_H_
#define BERGAMOTSCALE_SRC_LAB_SIM_ENGINE_H_

#include <functional>
#include <vector>

#include "src/emulator/engine_model.h"
#include "src/lab/event_loop.h"

namespace bergamotscale::lab {

// Advances the model when its steps end and passes its events to the listener.
// Thread safety: none.
class SimEngine {
 public:
  using Listener = std::function<void(const emulator::EngineEvent&)>;

  // Keeps a reference to the loop, which must outlive it.
  SimEngine(EventLoop& loop,
            const emulator::EngineParameters& parameters,
            Listener listener);

  // @return false if the engine is down.
  bool Submit(const emulator::EngineRequest& request);
  void Cancel(emulator::SequenceId id);
  void Crash();
  void Restart();
  void SetStragglerFactor(double factor);

  bool up() const { return !model_.crashed(); }
  int running() const { return model_.running(); }
  emulator::LoadReport report() const { return model_.ReportAt(loop_.now()); }

 private:
  void Step();
  void Schedule();
  void NotifyListener(const std::vector<emulator::EngineEvent>& events);

  EventLoop& loop_;
  emulator::EngineModel model_;
  Listener listener_;
  // End of the step that is scheduled in the loop.
  Micros scheduled_ = Micros(-1);
};

}  // namespace bergamotscale::lab

#endif  // BERGAMOTSCALE_SRC_LAB_SIM_ENGINE_H_
