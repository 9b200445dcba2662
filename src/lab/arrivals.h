// The requests of an experiment, determined by the scenario and the seed.
#ifndef BERGAMOTSCALE_SRC_LAB_ARRIVALS_H_
#define BERGAMOTSCALE_SRC_LAB_ARRIVALS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "src/emulator/engine_types.h"
#include "src/lab/scenario.h"

namespace bergamotscale::lab {

// One request of one caller.
struct Arrival {
  emulator::Micros at_;
  int class_ = 0;  // index in Scenario::classes_
  int workspace_ = 0;
  int entry_ = 0;
  Tokens prompt_tokens_;
  Tokens output_tokens_;
  // Hashes of the shared part of the prompt, one per engine block.
  std::vector<uint64_t> block_hashes_;
  uint64_t digest_ = 0;
  // When the caller disconnects, if it does so before the answer ends.
  std::optional<emulator::Micros> leaves_at_;
  bool crashes_engine_ = false;
};

// @return all requests, ordered by time: open-loop Poisson arrivals. Equal
// scenarios and seeds give equal requests. Thread safety: safe.
std::vector<Arrival> GenerateArrivals(const Scenario& scenario, uint64_t seed);

}  // namespace bergamotscale::lab

#endif  // BERGAMOTSCALE_SRC_LAB_ARRIVALS_H_
