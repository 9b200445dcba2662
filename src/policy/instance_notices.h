// What upstream instances have said about themselves in their responses.
#ifndef BERGAMOTSCALE_SRC_POLICY_INSTANCE_NOTICES_H_
#define BERGAMOTSCALE_SRC_POLICY_INSTANCE_NOTICES_H_

#include <cstdint>
#include <map>
#include <utility>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// Remembers which incarnations of instances announced that they are leaving,
// and which asked for no requests for some time. Responses are newer than the
// registry, and arrive while the registry is unavailable; so neither an older
// registry entry nor one that lapses and returns cancels a notice. A restarted
// instance has another start time and starts without notices. Notices answer
// planned restarts and overloaded upstreams. Thread safety: none.
class InstanceNotices {
 public:
  // Longer requests of an instance are cut to this time, so that one absurd
  // value does not exclude it for good.
  static constexpr Millis kMaxPause = Millis(3'600'000);

  // @param started_at start time of the incarnation.
  // @return whether this was not known yet.
  bool OnLeaving(const InstanceId& id, int64_t started_at, Millis now);
  // @param pause how long the instance wants no requests, from now on. A
  // shorter one does not end an earlier one sooner.
  void OnPause(const InstanceId& id,
               int64_t started_at,
               Millis pause,
               Millis now);

  // @return whether the incarnation is leaving.
  bool IsLeaving(const InstanceId& id, int64_t started_at) const;
  // @return when the pause of the incarnation ends; not after `now` if it may
  // get requests.
  Millis PausedUntil(const InstanceId& id, int64_t started_at) const;

  // Forgets pauses that have ended and incarnations that announced long ago
  // that they leave.
  void Expire(Millis now);

 private:
  struct Notice {
    bool leaving_ = false;
    Millis paused_until_;
    Millis updated_;
  };
  using Key = std::pair<InstanceId, int64_t>;

  const Notice* Find(const InstanceId& id, int64_t started_at) const;

  std::map<Key, Notice> notices_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_INSTANCE_NOTICES_H_
