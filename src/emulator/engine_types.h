// Requests, events and parameters of the emulated engine.
#ifndef BERGAMOTSCALE_SRC_EMULATOR_ENGINE_TYPES_H_
#define BERGAMOTSCALE_SRC_EMULATOR_ENGINE_TYPES_H_

#include <cstdint>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::emulator {

// Simulated time, in microseconds because a step takes a few milliseconds.
using Micros = Quantity<struct MicrosTag>;

inline constexpr int64_t kMicrosPerMilli = 1000;

constexpr Micros ToMicros(Millis time) {
  return Micros(time.count() * kMicrosPerMilli);
}
// Rounds up, so that a timer set to the result is never early.
constexpr Millis ToMillis(Micros time) {
  return Millis((time.count() + kMicrosPerMilli - 1) / kMicrosPerMilli);
}

// Id of a request within one engine, chosen by the submitter.
using SequenceId = NumberId<struct SequenceIdTag>;

struct EngineRequest {
  SequenceId id_;
  // Lower values run first.
  int priority_ = 1;
  Tokens prompt_tokens_ = Tokens(1);
  // Hashes of the prompt's blocks, see HashPrefixBlocks().
  std::vector<uint64_t> prefix_hashes_;
  // Digest of the whole prompt, the key of its KV state for import.
  uint64_t prompt_digest_ = 0;
  // Length of the whole answer, and of its part that is already generated. A
  // resumed request continues after that part, once the prompt and the part are
  // prefilled.
  Tokens output_tokens_ = Tokens(1);
  Tokens done_ = Tokens(0);
  // Crashes the engine at the end of the first step that runs it.
  bool crashes_engine_ = false;
};

enum class EngineEventType { kToken, kFinished, kPreempted, kCrashed };

// An event of one sequence at the end of a step. kCrashed concerns the whole
// engine, whose sequences are all lost.
struct EngineEvent {
  EngineEventType type_ = EngineEventType::kToken;
  SequenceId id_;
  Micros at_;
  // For kToken, the index from 0; for kFinished, the length of the answer.
  int64_t index_ = 0;
  // Prompt tokens that needed no prefill because they were cached.
  Tokens cached_tokens_;
};

// The state of an engine at an earlier time.
struct LoadReport {
  Micros at_;
  int running_ = 0;
  int waiting_ = 0;
  Tokens kv_used_;
  Tokens kv_capacity_;
  Tokens prefix_used_;
  Micros step_time_;
};

// Reports that a prefix block was stored in the cache or evicted from it. A gap
// in the numbers means that events were lost.
struct CacheEvent {
  int64_t number_ = 0;
  Micros at_;
  uint64_t hash_ = 0;
  bool stored_ = false;
};

// Stands for the exported KV state of tokens_ tokens: the prompt and its answer
// so far.
struct KvBlob {
  uint64_t prompt_digest_ = 0;
  Tokens tokens_;
};

struct EngineParameters {
  // A step takes step_base_, plus step_per_sequence_ for each decoding
  // sequence, plus prefill_per_token_ for each prefilled token.
  Micros step_base_ = Micros(8000);
  Micros step_per_sequence_ = Micros(300);
  Micros prefill_per_token_ = Micros(50);
  // Maximum number of tokens prefilled per step.
  Tokens prefill_chunk_ = Tokens(512);
  int max_running_ = 64;
  Tokens kv_capacity_ = Tokens(100000);
  Tokens prefix_capacity_ = Tokens(50000);
  // Tokens per hash in EngineRequest::prefix_hashes_.
  Tokens block_ = Tokens(16);
  // If false, the queue is first in, first out, whatever the priorities.
  bool honors_priority_ = true;
  Micros report_lag_ = Micros(500000);
  Micros cache_event_delay_ = Micros(300000);
  // Fraction of cache events that are lost, from 0 to 1.
  double cache_event_loss_ = 0.05;
  uint64_t seed_ = 1;
};

}  // namespace bergamotscale::emulator

#endif  // BERGAMOTSCALE_SRC_EMULATOR_ENGINE_TYPES_H_
