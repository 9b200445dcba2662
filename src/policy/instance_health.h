// The health of an upstream instance, derived from the results of calls.
#ifndef BERGAMOTSCALE_SRC_POLICY_INSTANCE_HEALTH_H_
#define BERGAMOTSCALE_SRC_POLICY_INSTANCE_HEALTH_H_

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// An exponentially decaying share of failed calls, and a pause after failed
// connections. The share decays with time, so that an instance that gets few
// requests because of its failures is tried again. Detects instances that fail
// some requests although their health check passes, and instances that are gone
// but still registered. Thread safety: none.
class InstanceHealth {
 public:
  void OnSuccess(Millis now);
  void OnFailure(Millis now);
  // Records that connecting failed.
  void OnUnreachable(Millis now);

  // @return the recent share of failed calls, from 0 to 1.
  double FailureShare(Millis now) const;
  // @return whether connecting should be avoided for now.
  bool IsPaused(Millis now) const;

 private:
  void Decay(Millis now);

  double share_ = 0;
  Millis updated_;
  Millis paused_until_;
  int consecutive_unreachable_ = 0;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_INSTANCE_HEALTH_H_
