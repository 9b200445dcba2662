// A discrete model of a model engine with continuous batching. Pure: time is
// an argument, the only randomness is seeded, and there are no threads or
// sockets, so that the stand-in and the experiment share it.
#ifndef BERGAMOTSCALE_SRC_EMULATOR_ENGINE_MODEL_H_
#define BERGAMOTSCALE_SRC_EMULATOR_ENGINE_MODEL_H_

#include <memory>
#include <optional>
#include <vector>

#include "src/emulator/engine_types.h"

namespace bergamotscale::emulator {

// The engine runs in steps. A step prefills up to a chunk of the prompt tokens
// that are not cached and writes one token for each sequence whose prefill is
// done. Requests join and leave between steps.
// Times given to one model must not go back. Call Advance() up to a time
// before submitting or cancelling at that time.
// Thread safety: use from one thread at a time.
class EngineModel {
 public:
  explicit EngineModel(const EngineParameters& parameters);
  ~EngineModel();
  EngineModel(EngineModel&&) noexcept;
  EngineModel& operator=(EngineModel&&) noexcept;

  // Queues a request. Preconditions: its id is not in use here, done_ is less
  // than output_tokens_. @return false if the engine has crashed.
  bool Submit(const EngineRequest& request, Micros now);

  // Drops a request, waiting or running; no further events concern it.
  // @return false if the engine doesn't hold it.
  bool Cancel(SequenceId id, Micros now);

  // @return when the present step ends; nothing if idle, hung or crashed.
  std::optional<Micros> NextEventTime() const;

  // Runs all steps that end by now and appends their events.
  // @param events must not be null.
  void Advance(Micros now, std::vector<EngineEvent>* events);

  // Faults.
  // All steps that start from now on take that many times as long.
  void SetStragglerFactor(double factor);
  // A hung engine ends no step until it is released.
  void SetHung(bool hung, Micros now);
  // Crashes at the end of the step in which that many more tokens are written.
  void CrashAfterTokens(int64_t tokens);
  // Loses all sequences and caches; appends a kCrashed event.
  void CrashNow(Micros now, std::vector<EngineEvent>* events);
  // Brings a crashed engine back, empty.
  void Restart(Micros now);
  bool crashed() const;

  // @return the KV state of a running sequence, or nothing.
  std::optional<KvBlob> ExportKv(SequenceId id) const;
  // Keeps KV state; a later request with that digest is spared its prefill.
  void ImportKv(const KvBlob& blob, Micros now);

  // The present state, which only a simulation may look at.
  int running() const;
  int waiting() const;

  // @return the state as it was report_lag_ before now.
  LoadReport ReportAt(Micros now) const;
  // @return the published events with at least that number, oldest first.
  std::vector<CacheEvent> CacheEventsFrom(int64_t number, Micros now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::emulator

#endif  // BERGAMOTSCALE_SRC_EMULATOR_ENGINE_MODEL_H_
