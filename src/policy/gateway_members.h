// Which gateways share a limit, as far as this one can tell.
#ifndef BERGAMOTSCALE_SRC_POLICY_GATEWAY_MEMBERS_H_
#define BERGAMOTSCALE_SRC_POLICY_GATEWAY_MEMBERS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "bergamotscale/units.h"

namespace bergamotscale::policy {

// Remembers the gateways that were seen, for shares that must not sum up to
// more than a limit. A gateway that loses sight of its peers may be cut off
// from them while they go on, so it still counts them. Only a majority of the
// gateways forgets those that are silent; a minority does so after a long time.
// Thread safety: none.
class GatewayMembers {
 public:
  // A silent gateway is forgotten by a majority after this time.
  static constexpr Millis kForgetTime = Millis(10'000);
  // After this time without a majority too.
  static constexpr Millis kLongForgetTime = Millis(600'000);
  // Gateways find each other within this time of a start.
  static constexpr Millis kDiscoveryTime = Millis(5'000);
  // Assumed number of gateways while no others are known.
  static constexpr int kAssumedCount = 10;

  // @param own identifies this gateway, equally for all of them.
  // @param expects_peers whether this deployment has other gateways.
  GatewayMembers(uint64_t own, bool expects_peers, Millis now);

  // Records a sign of life of another gateway.
  void OnSeen(uint64_t member, Millis now);
  // Forgets silent gateways.
  void Expire(Millis now);

  uint64_t own() const { return own_; }
  // @return the remembered gateways and this one, in ascending order.
  const std::vector<uint64_t>& members() const { return members_; }
  // @return by how many gateways to divide a limit at least.
  int CountForShares(Millis now) const;

 private:
  void UpdateMembers();

  uint64_t own_;
  bool expects_peers_;
  Millis started_at_;
  std::map<uint64_t, Millis> seen_;  // without this gateway
  std::vector<uint64_t> members_;
};

}  // namespace bergamotscale::policy

#endif  // BERGAMOTSCALE_SRC_POLICY_GATEWAY_MEMBERS_H_
