// How many requests an engine runs at once.
#ifndef BERGAMOTSCALE_SRC_POLICY_CONCURRENCY_LIMITER_H_
#define BERGAMOTSCALE_SRC_POLICY_CONCURRENCY_LIMITER_H_

#include <vector>

#include "bergamotscale/units.h"
#include "src/policy/types.h"

namespace bergamotscale::policy {

struct ConcurrencyLimiterOptions {
  int initial_ = 16;
  int max_ = 512;
  // Percent of the limit by which the top tier may go beyond it.
  int urgent_percent_ = 12;
};

// Learns the limit from the engine's own time between tokens, as the sidecar
// sees it, against the tightest target. The limit grows only while it is used
// and is never below 1.
// Thread safety: none.
class ConcurrencyLimiter {
 public:
  explicit ConcurrencyLimiter(ConcurrencyLimiterOptions options = {});

  // @param target the tightest time between tokens among the classes that the
  // upstream serves now; 0 sets no target, and the limit stays. What was
  // learned against another target is kept for when that comes back.
  void SetTarget(Millis between_tokens);

  // @param percent sum of the classes' floors, by which their requests may go
  // beyond the limit.
  void SetFloors(int percent);

  // Takes in one chunk of one running request.
  // @param tokens tokens in the chunk; 0 is ignored.
  // @param elapsed time since the request's previous chunk.
  // @param running requests that run at the engine.
  void ObserveChunk(Millis now, Tokens tokens, Millis elapsed, int running);

  // Takes in a whole answer, so that the share of answers beyond the target
  // stays small, short ones included, whose mean varies most.
  // @param between_tokens the answer's mean time between tokens, in ms.
  // @param target of its class.
  void ObserveAnswer(double between_tokens, Millis target);

  // The engine refused a request for want of memory while `running` ran.
  void ObserveRefusal(int running);

  // @return how many may run at once, at least 1.
  int limit() const { return limit_; }

  // @return the recent mean time between tokens; 0 if unknown.
  Millis between_tokens() const;

  // @return the limits for WorkQueue::PopNext().
  SlotLimits Limits() const;

 private:
  // The mean time between tokens aimed at, as a part of a target.
  struct TargetAim {
    Millis target_;
    double aim_ = 0;
  };
  TargetAim& AimOf(Millis target);
  void CloseWindow(Millis now);

  ConcurrencyLimiterOptions options_;
  Millis target_;
  int floor_percent_ = 0;
  int limit_;
  double mean_gap_ = 0;  // ms
  std::vector<TargetAim> aims_;
  Millis window_start_;
  bool window_open_ = false;
  int64_t window_tokens_ = 0;
  int64_t window_elapsed_ = 0;  // ms
  int window_peak_running_ = 0;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_CONCURRENCY_LIMITER_H_
