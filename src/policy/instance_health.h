// What the answers of an upstream instance say of its health.
#ifndef BERGAMOTSCALE_SRC_POLICY_INSTANCE_HEALTH_H_
#define BERGAMOTSCALE_SRC_POLICY_INSTANCE_HEALTH_H_

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// A moving share of failed calls that fades with time, so that an instance that
// gets few requests for its failures is tried again; and a pause after its
// connections failed. This answers instances that fail a part of their requests
// while their own health check is good, and instances that are gone before the
// registry knows. Thread safety: none.
class InstanceHealth {
 public:
  void OnSuccess(Millis now);
  void OnFailure(Millis now);
  // No connection could be had.
  void OnUnreachable(Millis now);

  // @return 0 for good to 1 for an instance that failed all lately.
  double FailureShare(Millis now) const;
  // @return whether no connection should be tried for now.
  bool IsPaused(Millis now) const;

 private:
  void Fade(Millis now);

  double share_ = 0;
  Millis updated_;
  Millis paused_until_;
  int unreachable_in_row_ = 0;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_INSTANCE_HEALTH_H_
