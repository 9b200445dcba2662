// Reserves some engines of a group for short prompts.
#ifndef BERGAMOTSCALE_SRC_POLICY_SHORT_PROMPT_POOL_H_
#define BERGAMOTSCALE_SRC_POLICY_SHORT_PROMPT_POOL_H_

#include <optional>
#include <string>
#include <unordered_map>

#include "bergamotscale/units.h"
#include "src/policy/prefill_speed.h"

namespace bergamotscale::policy {

// The load of short prompts on a group, of this entry and its peers.
struct PoolDemand {
  int running_ = 0;  // requests in progress
  double tokens_per_s_ = 0;
  int slots_ = 1;    // of an engine
  int engines_ = 0;  // usable ones
  double engine_tokens_per_ms_ = PrefillSpeed::kInitial;
  // The longest pause between events that callers of the group accept; zero if
  // none is stated.
  Millis gap_target_;
};

// @return how many engines of the pool are needed so that the prompts that
// arrive at one of them within the gap target leave time for the events of its
// streams, at most a fifth of the usable ones. It answers bursts: engines
// prefill in chunks between the steps of running streams, and prompts arrive in
// groups, so that a pool which has time for the mean rate still lets streams
// pause too long. 0 without a gap target and for one below 200 ms.
// Thread safety: safe.
int CountEnginesForGap(const PoolDemand& demand);

// Decides which routes send short prompts and how many engines are reserved for
// them. It answers loads in which one long prompt takes an engine longer than
// the target of a short one allows: an engine prefills prompts in the order in
// which they arrive and in chunks between the tokens of running streams, so a
// short prompt behind a long one is late, and its stream pauses too long.
// Peers' reports are older than a prefill takes, so entries can't avoid engines
// that prefill just now; they can agree on engines that get no long prompts.
// Thread safety: none.
class ShortPromptPool {
 public:
  // Records a request and classifies its route by the mean of its prompts.
  // @param tightest_target of the routes of the group.
  // @return whether the request belongs to the pool.
  bool Classify(const std::string& route,
                Tokens shared,
                Tokens own,
                Millis tightest_target,
                Millis now);

  // @return the prompt tokens per second of recent requests of the pool.
  double TokensPerSecond(Millis now) const;

  // Updates the size of the pool. Entries with equal demands get equal sizes.
  // @return the number of engines to reserve; 0 if all are used alike.
  int Update(const PoolDemand& demand, Millis now);

  int size() const { return size_; }

 private:
  struct RouteMeans {
    double shared_ = 0;
    double own_ = 0;
  };

  double DecayedTokens(Millis now) const;

  std::unordered_map<std::string, RouteMeans> routes_;
  // When a request of each kind last came, if ever.
  std::optional<Millis> last_short_;
  std::optional<Millis> last_long_;
  double recent_tokens_ = 0;  // decaying sum, as of last_short_
  Millis recent_since_;
  int size_ = 0;
  Millis resized_at_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_SHORT_PROMPT_POOL_H_
