// Tries to hold the lease on placement.
#ifndef BERGAMOTSCALE_SRC_PLACEMENT_LEASE_KEEPER_H_
#define BERGAMOTSCALE_SRC_PLACEMENT_LEASE_KEEPER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "bergamotscale/clock.h"
#include "src/placement/placement_fold.h"

namespace bergamotscale::placement {

struct LeaseKeeperOptions {
  InstanceId holder_;
  // Unique for each start of a process.
  std::string boot_id_;
  Millis ttl_ = Millis(10'000);
  // How long the lease is seen free before it is asked for. Processes with
  // different values don't all ask at once.
  Millis ask_delay_ = Millis(0);
};

// Decides when to ask, renew and stop believing; the log decides who holds.
// A process that was paused past its lease may still believe for a moment, but
// its orders carry a fence that no longer stands.
// Thread safety: use from one thread.
class LeaseKeeper {
 public:
  // Appends a record; a lost or doubled one does no harm.
  using Append = std::function<void(const PlacementRecord&)>;

  LeaseKeeper(LeaseKeeperOptions options,
              Clock steady,
              Clock wall,
              Append append);

  // Call after each Apply() of the fold, and every second.
  void Update(const PlacementFold& fold);

  // @return the fence to give orders under, while the lease is believed held.
  std::optional<Fence> fence() const;

  // Gives the lease up, if it is held.
  void Release();

 private:
  void Ask(const PlacementFold& fold, Millis now);
  void Renew(Millis now);

  LeaseKeeperOptions options_;
  Clock steady_;
  Clock wall_;
  Append append_;
  int64_t last_request_ = 0;
  LeaseId asked_;
  Millis asked_at_;
  std::optional<Millis> free_since_;
  std::optional<Fence> held_;
  // Start of the last request or renewal that the log has shown; the lease is
  // believed for its time to live from there.
  Millis believed_since_;
  std::optional<Millis> renewed_at_;
  Millis last_expiry_;
};

}  // namespace bergamotscale::placement

#endif  // BERGAMOTSCALE_SRC_PLACEMENT_LEASE_KEEPER_H_
