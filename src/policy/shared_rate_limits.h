// Request rates that upstream instances have asked for, shared by gateways.
#ifndef BERGAMOTSCALE_SRC_POLICY_SHARED_RATE_LIMITS_H_
#define BERGAMOTSCALE_SRC_POLICY_SHARED_RATE_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"
#include "src/policy/gateway_members.h"

namespace bergamotscale::policy {

// The part of an upstream's limit that a gateway uses.
struct RateShare {
  double per_second_ = 0;  // zero if other gateways use the limit
  int holders_ = 0;        // gateways that use it
  int rank_ = 0;           // of this gateway for this upstream

  friend bool operator==(const RateShare& a, const RateShare& b) {
    return a.per_second_ == b.per_second_ && a.holders_ == b.holders_ &&
           a.rank_ == b.rank_;
  }
};

// Divides a limit equally among the gateways that use it. Low limits are used
// by a few gateways only, chosen by a hash of upstream and gateway: a share
// accumulates to at least one request, and many gateways that spend theirs at
// once would exceed the limit.
// @param upstream identifies the incarnation, equally for all gateways.
// Thread safety: safe.
RateShare ComputeRateShare(double per_second,
                           uint64_t upstream,
                           const GatewayMembers& members,
                           Millis now);

// What an upstream said about its limit, and when.
struct RateStatement {
  std::optional<double> per_second_;  // none: it takes any rate
  Millis as_of_;
  bool from_peer_ = false;
};

// A statement as exchanged between gateways.
struct RateNotice {
  uint64_t upstream_ = 0;
  std::optional<double> per_second_;
  Millis age_;
};

// The requests that this gateway may send to limited upstreams. A limit holds
// for all gateways together and as long as the upstream states it. It answers
// upstreams in need before many gateways: none of them sees the others'
// requests in time. Thread safety: none.
class SharedRateLimits {
 public:
  // Lower limits count as this one. Each request that is sent tells whether the
  // limit still holds.
  static constexpr double kMinPerSecond = 0.05;
  // Higher ones do too.
  static constexpr double kMaxPerSecond = 1e6;

  // An incarnation of an instance.
  using Key = std::pair<InstanceId, int64_t>;

  // Records what an upstream said.
  // @param upstream see ComputeRateShare().
  // @return whether its limit changed. What is older than the latest statement
  // changes nothing.
  bool OnStatement(const Key& key,
                   uint64_t upstream,
                   const RateStatement& statement,
                   Millis now);
  // Divides the limits anew. Call when members change, and now and then.
  // @return the upstreams whose share changed.
  std::vector<Key> UpdateShares(const GatewayMembers& members, Millis now);
  // Forgets statements of long ago that no longer limit anything.
  void Expire(Millis now);

  bool empty() const { return limits_.empty(); }
  // @return the number of limited upstreams.
  int CountLimited() const;
  bool IsLimited(const Key& key) const;
  // @return the limit in requests a second; zero if there is none.
  double LimitOf(const Key& key) const;
  RateShare ShareOf(const Key& key) const;
  // @return whether a request may be sent now.
  bool Allows(const Key& key, Millis now) const;
  // Takes the permission to send a request.
  // @return false if none is left.
  bool TryTake(const Key& key, Millis now);
  // Gives a permission back whose request was not sent.
  void GiveBack(const Key& key, Millis now);
  // @return the time until Allows(); nothing if other gateways use the limit.
  std::optional<Millis> TimeUntilAllowed(const Key& key, Millis now) const;

  // @return what upstreams told this gateway, for the others. What it knows
  // from others is left out, as its age grows less exact from one to the next.
  std::vector<RateNotice> Notices(Millis now) const;

 private:
  struct Limit {
    uint64_t upstream_ = 0;
    RateStatement statement_;
    Millis changed_at_;  // when the statement last differed
    Millis told_from_;   // when other gateways were last in need of an end
    RateShare share_;
    double tokens_ = 0;  // at tokens_at_
    Millis tokens_at_;   // also when the latest one was taken
  };

  static bool HasToken(const Limit& limit, Millis now);
  static double Burst(const RateShare& share);
  static double TokensAt(const Limit& limit, Millis now);
  const Limit* FindLimited(const Key& key) const;

  std::map<Key, Limit> limits_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_SHARED_RATE_LIMITS_H_
