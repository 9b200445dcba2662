// Chooses the upstream instance of a request that needs no sidecar's grant.
#ifndef BERGAMOTSCALE_SRC_POLICY_PLACER_H_
#define BERGAMOTSCALE_SRC_POLICY_PLACER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/software_version.h"
#include "bergamotscale/units.h"
#include "src/policy/prefix_cache_estimate.h"

namespace bergamotscale::policy {

// The state of an upstream instance that an entry sends to directly.
struct InstanceView {
  uint64_t id_hash_ = 0;  // equal in every entry
  bool same_zone_ = false;
  int slots_ = 1;
  // Requests running there, of this entry and its peers.
  int running_ = 0;
  // Prompt tokens of requests sent there that have no first event yet.
  double unread_tokens_ = 0;
  // Tokens of the request's shared parts that are estimated not to be cached.
  double uncached_tokens_ = 0;
  // Prompt tokens that peers may have sent since their last reports. The cost
  // varies at random by up to this, so that entries with the same outdated
  // reports choose different instances among nearly equal ones.
  double unseen_tokens_ = 0;
  // Speed relative to the other instances of the group.
  double speed_ = 1;
  // See InstanceHealth::FailureShare().
  double failure_share_ = 0;
  bool avoid_ = false;  // already tried, or paused after failed connections
};

// The properties of a request that placement depends on.
struct PlacementRequest {
  // The prompt parts shared with other requests, in order.
  std::vector<SharedPromptPart> shared_;
  Tokens own_tokens_;
  // Whether the upstreams of the group are engines.
  bool engine_ = false;
  // Whether the request belongs to the group's ShortPromptPool.
  bool short_prompt_ = false;
  // Weight of prefix affinity, from 1 to 0.
  double patience_ = 1;
  // Set if only upstreams of this version may continue the response.
  std::optional<SoftwareVersion> version_;
  // Whether the request may begin a stream that is taken up later.
  bool begins_stream_ = false;

  // @return the tokens of all shared parts.
  Tokens SharedTokens() const;
};

// Cost weights, in prompt tokens.
struct PlacerOptions {
  // Cost of prefilling an uncached shared token, relative to waiting behind
  // one. Above 1, because prefill takes engine time from all later requests.
  // See docs/POLICY.md.
  double prefill_weight_ = 15;
  // Extra cost for each rank below the instance preferred for a shared part, as
  // a multiple of the prefill cost.
  double rank_penalty_ = 2;
  // Cost of each running request: its decode steps delay prefill.
  double running_tokens_ = 30;
  // Cost of an instance that fails all requests: more than prefilling a long
  // part again elsewhere.
  double failure_tokens_ = 500'000;
};

// @return the affinity weight of a request that has waited for capacity at the
// instances preferred for its parts. It decreases with the wait, so that a part
// with more demand than one engine can serve spreads to a further instance
// before its requests are late. Thread safety: safe.
double ComputeAffinity(Millis waited, Millis target);

// @return the index of the instance with the lowest cost; -1 if all are to be
// avoided. The cost counts the prompt tokens queued there, the uncached tokens
// of the request and the batch. Entries learn of one another's choices late.
// Requests with the same shared parts therefore go to the instances that
// rendezvous hashing prefers for these parts; another instance is chosen only
// when many times the length of the parts is queued at the preferred one.
// Short prompts go to the better of two random instances: the reports of peers
// are older than their prefill takes, and an instance that all entries take for
// the idlest is not.
// `random` breaks ties. Thread safety: safe.
int ChooseInstance(const std::vector<InstanceView>& views,
                   const PlacementRequest& request,
                   uint64_t random,
                   const PlacerOptions& options = {});

// @return whether another instance is estimated to cache more than half of the
// shared parts that the chosen one would have to prefill. Thread safety: safe.
bool IsCachedElsewhere(const std::vector<InstanceView>& views, int chosen);

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_PLACER_H_
