// Chooses the upstream of a request that is sent without a sidecar's grant.
#ifndef BERGAMOTSCALE_SRC_POLICY_PLACER_H_
#define BERGAMOTSCALE_SRC_POLICY_PLACER_H_

#include <cstdint>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

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
  // 0 for an instance that answers well, towards 1 for one that fails.
  double failure_share_ = 0;
  bool avoid_ = false;  // tried already, or its connections fail
};

// What placing needs to know of a request.
struct PlaceRequest {
  // Hash of the prompt's shared parts; 0 if it has none.
  uint64_t shared_hash_ = 0;
  Tokens shared_;
  Tokens own_;
  // Whether upstreams of the group are engines.
  bool engine_ = false;
};

// The weights of placing, in prompt tokens.
struct PlacerOptions {
  // Instances on which a shared part is expected to be cached. All shared parts
  // on so many instances fit into the memory of the group.
  int homes_ = 2;
  // What the second home costs against the first, as a share of the shared
  // part: keeps a part at one place while that has room.
  double second_home_share_ = 0.1;
  // What a running request costs a new one: its steps delay reading prompts.
  double running_tokens_ = 30;
  // What an instance costs that fails all requests.
  double failure_tokens_ = 60'000;
};

// @return the index of the instance with the least expected wait: prompts
// ahead of the request there, its own prompt less what is cached, the batch.
// This answers prompts that share long parts: they meet at their homes until
// those have more work ahead than reading the part again elsewhere would take.
// Equal instances are told apart by `random`. -1 if there is none that is not
// avoided. Thread safety: safe.
int Place(const std::vector<PlaceView>& views,
          const PlaceRequest& request,
          uint64_t random,
          const PlacerOptions& options = {});

// @return the prompt tokens that an instance reads for the request: without
// the shared part if the instance is a home of it.
double UnreadTokens(const std::vector<PlaceView>& views,
                    const PlaceRequest& request,
                    int index,
                    const PlacerOptions& options = {});

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_PLACER_H_
