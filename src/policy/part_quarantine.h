// Finds and blocks prompt parts that crash the upstreams that run them.
#ifndef BERGAMOTSCALE_SRC_POLICY_PART_QUARANTINE_H_
#define BERGAMOTSCALE_SRC_POLICY_PART_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// Prompt parts of which at least one is taken to crash upstreams.
struct SuspectParts {
  std::vector<uint64_t> parts_;  // sorted
  // Crashes that this explains; 0 if the parts were answered instead.
  int crashes_ = 0;
  Millis expires_in_;

  // @return whether requests with all of these parts are rejected.
  bool is_blocked() const;
};

struct PartQuarantineOptions {
  size_t max_suspects_ = 100;
  // Answered parts are remembered for this time to twice this time; for less if
  // there are more.
  Millis answered_retention_ = Millis(30'000);
  size_t max_answered_ = 10'000;
  Millis suspect_retention_ = Millis(60'000);
  Millis block_retention_ = Millis(3'600'000);
};

// Quarantine recognizes a request that crashes upstreams when it comes again.
// Here no two requests are alike, but they share a part of their prompts. If an
// upstream crashes before it has answered a request, the parts of the request
// that no upstream has answered lately become suspects together. A second crash
// of a request with some of them, sent after the first crash was known, leaves
// those that both requests had, and blocks requests with all of these; so a
// failure that takes down several upstreams at once blocks nothing. An answer
// clears the parts of its request, even blocked ones: other gateways may know
// better than one that has just started. Suspects are soft state that gateways
// exchange. Answers a load in which a few requests of many carry such a part.
// Thread safety: none.
class PartQuarantine {
 public:
  explicit PartQuarantine(PartQuarantineOptions options = {});
  ~PartQuarantine();
  PartQuarantine(const PartQuarantine&) = delete;
  PartQuarantine& operator=(const PartQuarantine&) = delete;

  // Sets the function that is told of each change.
  void SetChangeHook(std::function<void(const SuspectParts&)> on_change);

  // @return whether a request with these parts must reach no upstream.
  bool IsBlocked(const std::vector<uint64_t>& parts, Millis now) const;
  // @return whether each of the parts was answered lately.
  bool WereAnswered(const std::vector<uint64_t>& parts) const;

  // Records that an upstream crashed before it had answered a request with
  // these parts.
  // @param sent_at when the request was sent to that upstream.
  void OnCrash(const std::vector<uint64_t>& parts, Millis sent_at, Millis now);
  // Records that an upstream answers a request with these parts.
  void OnAnswered(const std::vector<uint64_t>& parts, Millis now);
  // Merges what a peer knows.
  void Merge(const SuspectParts& reported, Millis now);

  // @return the newest suspects, at most `limit`, for peers.
  std::vector<SuspectParts> Suspects(Millis now, size_t limit) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_PART_QUARANTINE_H_
