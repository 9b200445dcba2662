// Acquires and renews a lease.
#ifndef BERGAMOTSCALE_SRC_LEASE_LEASE_KEEPER_H_
#define BERGAMOTSCALE_SRC_LEASE_LEASE_KEEPER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "bergamotscale/clock.h"
#include "src/lease/records.h"

namespace bergamotscale::lease {

struct LeaseKeeperOptions {
  InstanceId holder_;
  // Unique for each start of a process.
  std::string boot_id_;
  Millis ttl_ = Millis(10'000);
  // How long the lease must have been free before it is requested. Different
  // values keep processes from requesting it at the same time.
  Millis request_delay_ = Millis(0);
};

// Decides when to request, renew and stop using the lease; the log order
// decides who holds it. On a clock that stands still while the machine is
// suspended, a process that was suspended past its lease's expiry may use it
// for a moment longer, but what it does then carries an outdated fence.
// Thread safety: use from one thread.
class LeaseKeeper {
 public:
  // Appends a record; it may be lost or duplicated. A renewal that is read back
  // is taken for the latest one that was appended. Where the lease must not be
  // used after its expiry, don't call Update() until the outcome of the last
  // append is known.
  using Append = std::function<void(const LeaseRecord&)>;

  // @param monotonic measures how long the lease may be used; Clock::Boot() if
  // the time during which the machine is suspended counts.
  LeaseKeeper(LeaseKeeperOptions options,
              Clock monotonic,
              Clock wall,
              Append append);

  // Call after each change of the view, and every second.
  void Update(const LeaseView& view);

  // @return the fence for new orders while this process assumes that it holds
  // the lease.
  std::optional<Fence> fence() const;

  // Releases the lease if it is held.
  void Release();

 private:
  void RequestLeaseIfFree(const LeaseView& view, Millis now);
  void RenewIfDue(Millis now);

  LeaseKeeperOptions options_;
  Clock monotonic_;
  Clock wall_;
  Append append_;
  int64_t last_request_number_ = 0;
  LeaseId requested_lease_;
  Millis requested_at_;
  std::optional<Millis> free_since_;
  std::optional<Fence> held_fence_;
  // Time of the last request or renewal that was read back from the log; the
  // lease is used for its time to live from then on.
  Millis valid_since_;
  std::optional<Millis> renewed_at_;
  Millis last_expiry_;
};

}  // namespace bergamotscale::lease

#endif  // BERGAMOTSCALE_SRC_LEASE_LEASE_KEEPER_H_
