// Runs the engine model in real time.
#ifndef BERGAMOTSCALE_STANDINS_ENGINE_ENGINE_RUNNER_H_
#define BERGAMOTSCALE_STANDINS_ENGINE_ENGINE_RUNNER_H_

#include <functional>
#include <memory>

#include "src/emulator/engine_model.h"

namespace bergamotscale::standins {

// Events of one sequence, called on the runner's thread.
struct SequenceHooks {
  std::function<void(int64_t index, Tokens cached)> on_token_;
  std::function<void()> on_finished_;
  // Called once after the tokens of a batch of steps.
  std::function<void()> on_batch_end_;
};

// Drives the engine model by the steady clock and calls the hooks of its
// sequences.
// Thread safety: safe; all hooks run on the runner's only thread.
class EngineRunner {
 public:
  // @param on_crash called when the model crashes; nothing runs afterwards.
  EngineRunner(const emulator::EngineParameters& parameters,
               std::function<void()> on_crash);
  // Stops the thread.
  ~EngineRunner();
  EngineRunner(const EngineRunner&) = delete;
  EngineRunner& operator=(const EngineRunner&) = delete;

  // @return an unused id.
  emulator::SequenceId NextId();
  // Submits a request whose id is from NextId().
  void Submit(const emulator::EngineRequest& request, SequenceHooks hooks);
  // Cancels a request. Takes effect on the runner's thread; its hooks are not
  // called afterwards.
  void Cancel(emulator::SequenceId id);

  using ModelTask =
      std::function<void(emulator::EngineModel&, emulator::Micros)>;
  // Calls `task` on the runner's thread with the model advanced to the
  // current time.
  void Post(ModelTask task);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::standins

#endif  // BERGAMOTSCALE_STANDINS_ENGINE_ENGINE_RUNNER_H_
