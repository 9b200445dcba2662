// The running generations of an engine stand-in.
#ifndef BERGAMOTSCALE_STANDINS_ENGINE_LIVE_GENERATIONS_H_
#define BERGAMOTSCALE_STANDINS_ENGINE_LIVE_GENERATIONS_H_

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "src/emulator/engine_types.h"
#include "standins/engine/generation.h"

namespace bergamotscale::standins {

// A map from sequences to their generations.
// Thread safety: safe.
class LiveGenerations {
 public:
  using GenerationPointer = std::shared_ptr<Generation>;

  void Add(emulator::SequenceId sequence, GenerationPointer generation);
  void Remove(emulator::SequenceId sequence);
  // @return the generation, or null.
  GenerationPointer Find(emulator::SequenceId sequence) const;
  // @return the sequences of a request.
  std::vector<emulator::SequenceId> SequencesOf(const RequestId& id) const;
  std::vector<GenerationPointer> All() const;

 private:
  mutable std::mutex mutex_;
  std::map<emulator::SequenceId, GenerationPointer> generations_;
};

}  // namespace bergamotscale::standins

#endif  // BERGAMOTSCALE_STANDINS_ENGINE_LIVE_GENERATIONS_H_
