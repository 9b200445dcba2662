// Where an entry places the reservations of a request.
#ifndef BERGAMOTSCALE_SRC_POLICY_DISPATCHER_H_
#define BERGAMOTSCALE_SRC_POLICY_DISPATCHER_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "bergamotscale/config_document.h"
#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"
#include "src/policy/types.h"

namespace bergamotscale::policy {

// What dispatch needs of a request.
struct DispatchRequest {
  ClassId class_;
  Tier tier_ = Tier(1);
  GroupId group_;
  // Only upstreams that have it loaded; empty for a plain service.
  ModelId model_;
  // Hashes of the prompt's prefixes, longest last. See PrefixHasher.
  std::vector<uint64_t> prefix_hashes_;
  // Sidecars that have failed this request already.
  std::vector<InstanceId> avoid_;
  // Suspects of one digest go to the same upstream from every entry.
  bool suspect_ = false;
  uint64_t digest_ = 0;
};

// @return how long a suspect waits for its place before it tries the next one,
// given the time from its arrival to its deadline. Thread safety: safe.
Millis SuspectPatience(Millis deadline);

struct DispatcherOptions {
  uint64_t seed_ = 1;
  // Zone of this entry.
  ZoneId zone_;
  // Reservations per request.
  int reservations_ = 3;
  // Upstreams weighed per request when there are more than this.
  int sample_ = 24;
  // Measured extra time of a request to another zone, both ways.
  Millis zone_cost_ = Millis(1);
  // Prefill time that one cached prefix hash saves.
  Millis prefix_saving_ = Millis(60);
  // An upstream whose time between tokens is this many percent of the median
  // is a straggler.
  int straggler_percent_ = 200;
};

// Chooses upstreams by expected wait: the last report, discounted by its age,
// plus this entry's own placements since. One place goes to the upstream that
// holds the prompt's prefix, if its load allows. While an upstream of the own
// zone can take the request at once, and no other zone holds more of its
// prompt, all places are in the own zone, if that has a choice of upstreams. A
// request that has to wait everywhere goes to the homes of its prompt, which
// are the same for all entries, unless it would wait there for longer by a part
// of its first-token target: a small one for the top tier, all of it for the
// others. Classes with the tightest time between tokens keep to the upstreams
// that KeptUpstreams keeps, unless they would wait there. Cost: grows with the
// smaller of sample_ and the number of views. Thread safety: none.
class Dispatcher {
 public:
  explicit Dispatcher(DispatcherOptions options);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  // Takes over the classes, from which it follows what needs a small batch.
  void Configure(const std::vector<ServiceClass>& classes);

  // Adapts how many upstreams are kept at a small batch. Call about once a
  // second, with the views of the other calls.
  void Refresh(const std::vector<UpstreamView>& views);

  // @param views upstreams this entry knows, in the order of their ids, so
  // that entries agree on affinity. Those of other groups are passed over.
  // @return up to `reservations_` indices in `views`, best first; empty if no
  // upstream is usable.
  std::vector<int> Choose(const DispatchRequest& request,
                          const std::vector<UpstreamView>& views);

  // Remembers that the upstream has taken the request, and so holds its
  // prefixes. Memory is bounded.
  // @param index the upstream, as returned by Choose().
  void Started(const DispatchRequest& request,
               const std::vector<UpstreamView>& views,
               int index);

  // @return the wait that admission should reckon with: that of the best
  // upstream for the class among a sample; kNoUpstreamWait if none is usable.
  Millis BestWait(const DispatchRequest& request,
                  const std::vector<UpstreamView>& views);

  // The wait when no upstream is usable.
  static constexpr Millis kNoUpstreamWait = Millis(1'000'000'000);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_DISPATCHER_H_
