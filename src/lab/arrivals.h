// The requests of an experiment, fixed by scenario and seed.
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
  // Hashes of the shared part of the prompt, one for each engine block.
  std::vector<uint64_t> block_hashes_;
  uint64_t digest_ = 0;
  // When its caller leaves, if it does.
  std::optional<emulator::Micros> leaves_at_;
  bool crashes_engine_ = false;
};

// @return all requests, in order of time: an open loop of Poisson arrivals.
// The same scenario and seed give the same requests. Thread safety: safe.
std::vector<Arrival> GenerateArrivals(const Scenario& scenario, uint64_t seed);

}  // namespace bergamotscale::lab

#endif  // BERGAMOTSCALE_SRC_LAB_ARRIVALS_H_
