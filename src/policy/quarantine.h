// Finds and blocks requests that crash the upstreams that run them.
#ifndef BERGAMOTSCALE_SRC_POLICY_QUARANTINE_H_
#define BERGAMOTSCALE_SRC_POLICY_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::policy {

enum class CrashStatus {
  kClear,
  // Was running when one upstream crashed: may run only as the single suspect
  // at an upstream.
  kSuspect,
  // Was running when two upstreams crashed: rejected.
  kBlocked,
};

// An attempt to run a request at an upstream.
struct RunningAttempt {
  uint64_t digest_ = 0;
  bool suspect_ = false;  // was a suspect when it started
};

// The state of a digest, as processes exchange it.
struct CrashRecord {
  uint64_t digest_ = 0;
  int crashes_ = 0;  // 0 if it completed
  bool blocked_ = false;
  Millis expires_in_;
  // Identifies the upstream of the first crash, see ComputeCrashSourceId(); 0
  // if unknown.
  uint64_t source_ = 0;
};

// @return the identifier of an upstream's sidecar in records.
uint64_t ComputeCrashSourceId(const InstanceId& sidecar);

// @return the delay after a crash before a suspect of a tier is sent to another
// upstream. In that time, processes exchange records of what ran with it.
// Suspects of lower tiers wait longer, so that a long one doesn't start before
// short ones of a higher tier, which would queue behind it. Thread safety:
// safe.
Millis GetSuspectRetryDelay(Tier tier);

struct QuarantineOptions {
  size_t max_digests_ = 10'000;
  Millis suspect_retention_ = Millis(600'000);
  Millis block_retention_ = Millis(86'400'000);
};

// Counts for each digest the crashes in which it took part. All requests that
// ran at a crashed upstream become suspects; but if a suspect ran there, only
// that suspect is blocked and the other requests stay clear. Since at most one
// suspect runs at an upstream, the blocked request is the one that was running
// at both crashes.
//
// The sidecar of a crashed upstream reports all that ran there; an entry that
// lost its connection reports its own attempts there. Both may report one
// crash, which counts once, because what matters is whether an attempt was
// started as a suspect. Duplicates of a request may run at two upstreams before
// the first crash is known; crashes at different upstreams then count as two.
// Records are soft state; when peers merge them, the worse status wins. Thread
// safety: none.
class Quarantine {
 public:
  explicit Quarantine(QuarantineOptions options = {});
  ~Quarantine();
  Quarantine(Quarantine&&) noexcept;
  Quarantine& operator=(Quarantine&&) noexcept;

  // @return the status of a digest.
  CrashStatus Check(uint64_t digest, Millis now) const;

  // Records that an upstream crashed while it ran these attempts.
  // @param source see CrashRecord.
  // @return the changed records, to be sent to peers.
  std::vector<CrashRecord> OnCrash(const std::vector<RunningAttempt>& running,
                                   Millis now,
                                   uint64_t source = 0);

  // Records that an attempt completed, which clears a suspect.
  // @return the changed record, to be sent to peers.
  std::vector<CrashRecord> OnCompleted(const RunningAttempt& attempt,
                                       Millis now);

  // Merges a peer's record.
  // @return whether it changed the own record of the digest, in which case it
  // is to be passed on to peers.
  bool Merge(const CrashRecord& record, Millis now);

  // @return the newest records, at most `limit`, for gossip.
  std::vector<CrashRecord> Records(Millis now, size_t limit) const;

  // @return the number of digests with a record.
  size_t size() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_QUARANTINE_H_
