// Chooses the upstreams at which an entry places a request's reservations.
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

// The properties of a request that dispatch depends on.
struct DispatchRequest {
  ClassId class_;
  Tier tier_ = Tier(1);
  GroupId group_;
  // The model that an upstream must have loaded; empty for plain services.
  ModelId model_;
  // Hashes of the prompt's prefixes, longest last. See HashPrefixes().
  std::vector<uint64_t> prefix_hashes_;
  // Sidecars at which this request has failed already.
  std::vector<InstanceId> avoid_;
  // Every entry sends suspects of the same digest to the same upstream.
  bool suspect_ = false;
  uint64_t digest_ = 0;
};

// @return how long a suspect waits at one upstream before the entry tries the
// next, given the time from its arrival to its deadline. Thread safety: safe.
Millis GetSuspectAttemptTimeout(Millis deadline);

struct DispatcherOptions {
  uint64_t seed_ = 1;
  // Availability zone of this entry.
  ZoneId zone_;
  // Reservations per request.
  int reservations_ = 3;
  // Maximum number of upstreams that are scored per request.
  int sample_size_ = 24;
  // Added latency of a request to another zone, for the round trip.
  Millis zone_cost_ = Millis(1);
  // Prefill time saved by each cached prefix hash.
  Millis prefix_saving_ = Millis(60);
  // An upstream is a straggler if its inter-token latency exceeds this
  // percentage of the median.
  int straggler_percent_ = 200;
};

// Chooses upstreams by estimated wait: the last reported wait, weighted by the
// age of the report, plus this entry's own placements since. The rules:
// - Upstreams that hold the prompt's prefixes score better, if their load
// allows.
// - All reservations are placed in the entry's own zone while an upstream there
// can start the request at once, no upstream of another zone holds more of its
// prompt, and the zone has a choice of upstreams.
// - A request that has to wait everywhere goes to the upstreams preferred for
// its prompt by rendezvous hashing, which are the same for all entries, unless
// its wait there would be longer by a part of its first-token target: a small
// part for the top tier, all of it for the others.
// - Classes with the tightest inter-token target run at batch-limited upstreams
// unless they would wait there. See BatchLimitedUpstreams.
//
// The cost grows with the smaller of sample_size_ and the number of views.
// Thread safety: none.
class Dispatcher {
 public:
  explicit Dispatcher(DispatcherOptions options);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  // Sets the classes, which determine the requests that need batch-limited
  // upstreams and the waits that are treated as equal.
  void Configure(const std::vector<ServiceClass>& classes);

  // Adapts the number of batch-limited upstreams. Call about once a second,
  // with the same views as the other methods.
  void Refresh(const std::vector<UpstreamView>& views);

  // @param views all upstreams that this entry has a connection to, ordered by
  // id, so that entries agree on prefix affinity. Upstreams of other groups are
  // skipped.
  // @return up to `reservations_` indices in `views`, best first; empty if no
  // upstream is usable.
  std::vector<int> Choose(const DispatchRequest& request,
                          const std::vector<UpstreamView>& views);

  // Records that the upstream has started the request and so caches its
  // prefixes. Memory is bounded.
  // @param index the upstream, as returned by Choose().
  void OnStarted(const DispatchRequest& request,
                 const std::vector<UpstreamView>& views,
                 int index);

  // @return the estimated wait for admission control: that of the best upstream
  // for the class, among a sample; kNoUpstreamWait if none is usable.
  Millis EstimateBestWait(const DispatchRequest& request,
                          const std::vector<UpstreamView>& views);

  // The wait reported when no upstream is usable.
  static constexpr Millis kNoUpstreamWait = Millis(1'000'000'000);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_DISPATCHER_H_
