// The registered upstream instances, kept through outages of the registry.
#ifndef BERGAMOTSCALE_SRC_ROUTE_DIRECTORY_H_
#define BERGAMOTSCALE_SRC_ROUTE_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/software_version.h"
#include "bergamotscale/units.h"

namespace bergamotscale::route {

// How sure it is that an upstream is still there.
enum class Registration {
  kListed,
  // Expired in an outage of the registry that most other entries did not
  // survive either, or lost when the registry was restored from a copy: the
  // upstream may be alive and gets requests.
  kLapsed,
  // Missing while most entries are listed: the upstream has probably left, and
  // gets no requests until it registers again.
  kMissing,
};

// One incarnation of an upstream instance, as it registered itself.
struct UpstreamEntry {
  InstanceId id_;
  // Start time in Unix milliseconds; distinguishes incarnations of one id.
  int64_t started_at_ = 0;
  // Number of this entry among those of its incarnation.
  int64_t sequence_ = 0;
  GroupId group_;
  std::string ip_;
  uint16_t port_ = 0;
  ZoneId zone_;
  // An upstream that names no version has one of its own; see
  // MakeOwnVersion().
  SoftwareVersion version_;
  int slots_ = 1;
  bool draining_ = false;
  // Set by Directory::Entries().
  Registration registration_ = Registration::kListed;
};

// @return a version that no other incarnation has. Thread safety: safe.
SoftwareVersion MakeOwnVersion(const InstanceId& id, int64_t started_at);

// Keeps the registry entries of upstreams. An entry that expired while the
// registry was unavailable may belong to a live upstream that couldn't renew
// it, so it is kept until a grace period after the registry is available again.
// Whether the registry or only the path to it was down shows in the other
// entries: an outage of the registry makes most of them expire.
// The registry may carry out a write seconds after later ones, so an entry that
// is older than the last one of its upstream is ignored, also shortly after the
// upstream was removed. So are entries that a restored registry lists again.
// Thread safety: none.
class Directory {
 public:
  // @param grace_period time within which a live upstream renews its entry once
  // the registry is available again.
  explicit Directory(Millis grace_period);

  enum class Change {
    kNone,      // a heartbeat
    kChanged,   // anything else changed, or the entry had expired
    kOutdated,  // ignored: older than the last entry of the upstream
  };

  // Adds or updates an entry.
  Change Put(const UpstreamEntry& entry, Millis now);

  // Handles the removal of an entry from the registry.
  // @return whether the upstream was dropped at once.
  bool Remove(const InstanceId& id, Millis now);

  // @return the number of entries that have expired and are kept.
  size_t CountExpired() const;

  // Replaces all entries with those that the registry holds now.
  void Replace(const std::vector<UpstreamEntry>& entries, Millis now);

  // Records that the registry could not be read; it counts as unavailable until
  // the next OnRegistryAvailable().
  void OnRegistryUnavailable();
  // Records that the registry was restored from a copy; the next Replace()
  // gives its entries. Upstreams that the copy lacks are kept as after an
  // outage.
  void OnRegistryRestored(Millis now);
  // Records that the registry was read. Idempotent.
  void OnRegistryAvailable(Millis now);

  // Drops expired entries once the grace period has ended.
  // @return whether any was dropped.
  bool Expire(Millis now);

  // @return the upstreams, ordered by id.
  std::vector<UpstreamEntry> Entries() const;

 private:
  struct Upstream {
    UpstreamEntry entry_;
    bool expired_ = false;
    bool is_lost_ = false;  // expired because the registry was restored
  };

  // The last entry of an upstream that was removed.
  struct Removed {
    int64_t started_at_ = 0;
    int64_t sequence_ = 0;
    Millis at_;
  };

  // @return whether the entry was written before the last one of its upstream.
  bool IsOutdated(const UpstreamEntry& entry, Millis now) const;
  void StartGrace(Millis now);
  // Forgets the upstream, but keeps the number of its last entry for a while.
  void Drop(std::map<InstanceId, Upstream>::iterator upstream, Millis now);

  const Millis grace_period_;
  std::map<InstanceId, Removed> removed_;
  std::map<InstanceId, Upstream> upstreams_;
  bool registry_unavailable_ = false;
  bool is_restored_ = false;  // and not replaced since
  bool in_grace_ = false;
  Millis grace_ends_;
};

}  // namespace bergamotscale::route

#endif  // BERGAMOTSCALE_SRC_ROUTE_DIRECTORY_H_
