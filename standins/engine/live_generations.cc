#include "standins/engine/live_generations.h"

#include <utility>

namespace bergamotscale::standins {

using emulator::SequenceId;

void LiveGenerations::Add(SequenceId sequence, GenerationPointer generation) {
  const std::lock_guard<std::mutex> lock(mutex_);
  generations_[sequence] = std::move(generation);
}

void LiveGenerations::Remove(SequenceId sequence) {
  const std::lock_guard<std::mutex> lock(mutex_);
  generations_.erase(sequence);
}

LiveGenerations::GenerationPointer LiveGenerations::Find(
    SequenceId sequence) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = generations_.find(sequence);
  return found == generations_.end() ? nullptr : found->second;
}

std::vector<SequenceId> LiveGenerations::SequencesOf(
    const RequestId& id) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<SequenceId> sequences;
  for (const auto& [sequence, generation] : generations_) {
    if (generation->id() == id) {
      sequences.push_back(sequence);
    }
  }
  return sequences;
}

std::vector<LiveGenerations::GenerationPointer> LiveGenerations::All() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<GenerationPointer> all;
  for (const auto& [sequence, generation] : generations_) {
    all.push_back(generation);
  }
  return all;
}

}  // namespace bergamotscale::standins
