// A discrete-time model of an inference engine with continuous batching. Time
// is an argument, randomness is seeded, and there are no threads or sockets, so
// that the stand-in server and the experiment can share it.
#ifndef BERGAMOTSCALE_SRC_EMULATOR_ENGINE_MODEL_H_
#define BERGAMOTSCALE_SRC_EMULATOR_ENGINE_MODEL_H_

#include <memory>
#include <optional>
#include <vector>

#include "src/emulator/engine_types.h"

namespace bergamotscale::emulator {

// The engine runs in steps. A step prefills up to one chunk of uncached prompt
// tokens and generates one token for each sequence whose prefill is done.
// Requests join and leave between steps. Times passed to a model must not
// decrease. Call Advance() up to a time before submitting or cancelling at that
// time. Thread safety: use from one thread at a time.
class EngineModel {
 public:
  explicit EngineModel(const EngineParameters& parameters);
  ~EngineModel();
  EngineModel(EngineModel&&) noexcept;
  EngineModel& operator=(EngineModel&&) noexcept;

  // Queues a request. Preconditions: no request here has its id; done_ is less
  // than output_tokens_.
  // @return false if the engine has crashed.
  bool Submit(const EngineRequest& request, Micros now);

  // Removes a waiting or running request, which gets no further events.
  // @return false if the engine has no such request.
  bool Cancel(SequenceId id, Micros now);

  // @return when the current step ends; nothing if idle, hung or crashed.
  std::optional<Micros> NextEventTime() const;

  // Runs all steps that end by `now` and appends their events.
  // @param events must not be null.
  void Advance(Micros now, std::vector<EngineEvent>* events);

  // Fault injection: multiplies the duration of all steps that start from now
  // on.
  void SetStragglerFactor(double factor);
  // A hung engine completes no step until it is released.
  void SetHung(bool hung, Micros now);
  // Crashes once that many more tokens are generated, at the end of that step.
  void CrashAfterTokens(int64_t tokens);
  // Drops all sequences and caches; appends a kCrashed event.
  void CrashNow(Micros now, std::vector<EngineEvent>* events);
  // Restarts a crashed engine without sequences or cached state.
  void Restart(Micros now);
  bool crashed() const;

  // @return the KV state of a running sequence, or nothing.
  std::optional<KvBlob> ExportKv(SequenceId id) const;
  // Stores KV state, so that a later request with that digest needs no prefill.
  void ImportKv(const KvBlob& blob, Micros now);

  // The current state, for simulations only; a router sees ReportAt().
  int running() const;
  int waiting() const;

  // @return the state at report_lag_ before `now`.
  LoadReport ReportAt(Micros now) const;
  // @return the published events from that number on, oldest first.
  std::vector<CacheEvent> CacheEventsFrom(int64_t number, Micros now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::emulator

#endif  // BERGAMOTSCALE_SRC_EMULATOR_ENGINE_MODEL_H_
