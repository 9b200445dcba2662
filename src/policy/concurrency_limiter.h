// The limit on the requests that an engine runs at once.
#ifndef BERGAMOTSCALE_SRC_POLICY_CONCURRENCY_LIMITER_H_
#define BERGAMOTSCALE_SRC_POLICY_CONCURRENCY_LIMITER_H_

#include <vector>

#include "bergamotscale/units.h"
#include "src/policy/types.h"

namespace bergamotscale::policy {

struct ConcurrencyLimiterOptions {
  int initial_ = 16;
  int max_ = 512;
  // Percentage of the limit by which the top tier may exceed it.
  int urgent_percent_ = 12;
};

// Adapts the limit so that the inter-token latency measured by the sidecar
// stays under the tightest target. The limit grows only while it is used, and
// is never below 1. Thread safety: none.
class ConcurrencyLimiter {
 public:
  explicit ConcurrencyLimiter(ConcurrencyLimiterOptions options = {});

  // @param between_tokens the tightest inter-token target among the classes
  // that the upstream serves now. 0 means no target, and the limit stays as it
  // is. The setpoints of earlier targets are kept in case those targets apply
  // again.
  void SetTarget(Millis between_tokens);

  // @param percent sum of the classes' floor shares; requests started on a
  // floor share may exceed the limit by this percentage.
  void SetFloors(int percent);

  // Records one chunk of a running request.
  // @param tokens tokens in the chunk; 0 is ignored.
  // @param elapsed time since the request's previous chunk.
  // @param running requests that run at the engine.
  void ObserveChunk(Millis now, Tokens tokens, Millis elapsed, int running);

  // Records a complete answer. This keeps the share of answers beyond the
  // target small, including short answers, whose mean varies most.
  // @param between_tokens the answer's mean inter-token latency, in ms.
  // @param target the target of its class.
  void ObserveAnswer(double between_tokens, Millis target);

  // Records that the engine rejected a request for lack of memory while
  // `running` requests ran.
  void ObserveRefusal(int running);

  // @return the number of requests that may run at once, at least 1.
  int limit() const { return limit_; }

  // @return the recent mean inter-token latency; 0 if unknown.
  Millis between_tokens() const;

  // @return the limits for WorkQueue::PopNext().
  SlotLimits Limits() const;

 private:
  // The mean inter-token latency to regulate to, as a fraction of a target.
  struct Setpoint {
    Millis target_;
    double fraction_ = 0;
  };
  Setpoint& FindSetpoint(Millis target);
  void CloseWindow(Millis now);

  ConcurrencyLimiterOptions options_;
  Millis target_;
  int floor_percent_ = 0;
  int limit_;
  double mean_interval_ = 0;  // ms
  std::vector<Setpoint> setpoints_;
  Millis window_start_;
  bool window_open_ = false;
  int64_t window_tokens_ = 0;
  int64_t window_elapsed_ = 0;  // ms
  int window_peak_running_ = 0;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_CONCURRENCY_LIMITER_H_
