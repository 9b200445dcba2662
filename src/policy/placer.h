// Chooses the upstream of a request that is sent without a sidecar's grant.
#ifndef BERGAMOTSCALE_SRC_POLICY_PLACER_H_
#define BERGAMOTSCALE_SRC_POLICY_PLACER_H_

#include <cstdint>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"
#include "src/policy/cache_belief.h"

namespace bergamotscale::policy {

// What an entry knows of an upstream instance that it sends to directly.
struct PlaceView {
  uint64_t id_hash_ = 0;  // the same in every entry
  bool same_zone_ = false;
  int slots_ = 1;
  // Requests there, of this entry and of its peers.
  int running_ = 0;
  // Prompt tokens sent there that have not been answered with a first event.
  double unread_tokens_ = 0;
  // Tokens of the request's shared parts that are not believed to be cached.
  double missing_tokens_ = 0;
  // 0 for an instance that answers well, towards 1 for one that fails.
  double failure_share_ = 0;
  bool avoid_ = false;  // tried already, or its connections fail
};

// What placing needs to know of a request.
struct PlaceRequest {
  // The parts of the prompt that other requests share, in order.
  std::vector<SharedPart> shared_;
  Tokens own_;
  // Whether upstreams of the group are engines.
  bool engine_ = false;
  // How much it keeps to the homes of its parts, 1 to 0.
  double patience_ = 1;

  // @return the tokens of all shared parts.
  Tokens SharedTokens() const;
};

// The weights of placing, in prompt tokens.
struct PlacerOptions {
  // What reading a shared token again costs against waiting behind one: it
  // takes the engine's time from all that come later. From rounds on the
  // users' bench (docs/POLICY.md).
  double missing_weight_ = 15;
  // What the next home of a part costs more than the first, as a share of
  // reading the part.
  double next_home_share_ = 2;
  // What a running request costs a new one: its steps delay reading prompts.
  double running_tokens_ = 30;
  // What an instance costs that fails all requests: more than reading a long
  // part again elsewhere.
  double failure_tokens_ = 500'000;
};

// @return how much a request that has waited for room at the homes of its parts
// still keeps to them. This answers a part that is asked for more than one
// engine can serve: its requests take it to a further home before they are
// late. Thread safety: safe.
double PatienceAfter(Millis waited, Millis target);

// @return the index of the instance with the least expected wait: prompts
// ahead of the request there, what it reads of its own prompt, the batch.
// This answers prompts that share long parts, asked for at many entries that
// know one another's choices late: they meet at the homes of their parts, and
// move on only from a home with many times as much ahead as the part is long.
// Equal instances are told apart by `random`. -1 if there is none that is not
// avoided. Thread safety: safe.
int Place(const std::vector<PlaceView>& views,
          const PlaceRequest& request,
          uint64_t random,
          const PlacerOptions& options = {});

// @return whether another instance keeps most of what the chosen one would have
// to read of the shared parts. Thread safety: safe.
bool ReadsAgain(const std::vector<PlaceView>& views, int chosen);

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_PLACER_H_
