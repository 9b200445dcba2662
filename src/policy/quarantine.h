// Finds requests that crash the upstreams that run them.
#ifndef BERGAMOTSCALE_SRC_POLICY_QUARANTINE_H_
#define BERGAMOTSCALE_SRC_POLICY_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::policy {

enum class Suspicion {
  kClear,
  // Was running when one upstream crashed: runs as the only suspect.
  kSuspect,
  // Was running when two upstreams crashed: refused.
  kConvicted,
};

// An attempt at an upstream.
struct RunningDigest {
  uint64_t digest_ = 0;
  bool suspect_ = false;  // was started as one
};

// What one process tells another of a digest.
struct SuspicionRecord {
  uint64_t digest_ = 0;
  int crashes_ = 0;  // 0 clears
  bool convicted_ = false;
  Millis expires_in_;
  // Names the upstream that crashed first; 0 if not known.
  uint64_t source_ = 0;
};

// @return the name of an upstream's sidecar in records.
uint64_t CrashSourceOf(const InstanceId& sidecar);

// @return how long after a crash a suspect of a tier goes to another upstream.
// Verdicts on what ran with it spread meanwhile. Suspects of lower tiers go
// later, so that one that runs for long doesn't start before the short ones of
// a higher tier, which would wait behind it. Thread safety: safe.
Millis SuspectDelay(Tier tier);

struct QuarantineOptions {
  size_t max_digests_ = 10'000;
  Millis suspect_lifetime_ = Millis(600'000);
  Millis conviction_lifetime_ = Millis(86'400'000);
};

// Keeps, for each digest, in how many crashes it took part. A crash makes
// suspects of all that ran; when the crashed upstream ran a suspect, that
// suspect is convicted and its neighbours are left alone. Since at most one
// suspect runs at an upstream, this is the intersection of the crash sets.
//
// The sidecar of a crashed upstream tells of all that ran there; an entry that
// lost its link tells of its own attempts there. Both may tell of one crash:
// what counts is whether an attempt had been started as a suspect.
// Copies of one request may run at two upstreams before the first crash is
// known. Crashes at different upstreams then count as two.
// Records are soft state; peers merge them by taking the worse.
// Thread safety: none.
class Quarantine {
 public:
  explicit Quarantine(QuarantineOptions options = {});
  ~Quarantine();
  Quarantine(Quarantine&&) noexcept;
  Quarantine& operator=(Quarantine&&) noexcept;

  // @return what is known of a digest.
  Suspicion Check(uint64_t digest, Millis now) const;

  // An upstream crashed while it ran these.
  // @param source see SuspicionRecord.
  // @return the records that changed, to be told to peers.
  std::vector<SuspicionRecord> OnCrash(
      const std::vector<RunningDigest>& running,
      Millis now,
      uint64_t source = 0);

  // An attempt ran to its end, which clears a suspect.
  // @return the record that changed, to be told to peers.
  std::vector<SuspicionRecord> OnCompleted(const RunningDigest& attempt,
                                           Millis now);

  // Takes in a peer's record.
  // @return true if it changed anything here, so that it is passed on.
  bool Merge(const SuspicionRecord& record, Millis now);

  // @return the newest records, at most `limit`, for gossip.
  std::vector<SuspicionRecord> Records(Millis now, size_t limit) const;

  // @return how many digests are kept.
  size_t size() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_QUARANTINE_H_
