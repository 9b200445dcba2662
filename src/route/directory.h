// The registered upstream instances, kept through outages of the registry.
#ifndef BERGAMOTSCALE_SRC_ROUTE_DIRECTORY_H_
#define BERGAMOTSCALE_SRC_ROUTE_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::route {

// How sure it is that an upstream is still there.
enum class Registration {
  kListed,
  // Expired in an outage of the registry that most other entries did not
  // survive either: the upstream may be alive and gets requests.
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
  GroupId group_;
  std::string ip_;
  uint16_t port_ = 0;
  ZoneId zone_;
  int slots_ = 1;
  bool draining_ = false;
  // Set by Directory::Entries().
  Registration registration_ = Registration::kListed;
};

// Keeps the registry entries of upstreams. An entry that expired while the
// registry was unavailable may belong to a live upstream that couldn't renew
// it, so it is kept until a grace period after the registry is available again.
// Whether the registry or only the path to it was down shows in the other
// entries: an outage of the registry makes most of them expire.
// Thread safety: none.
class Directory {
 public:
  // @param grace_period time within which a live upstream renews its entry once
  // the registry is available again.
  explicit Directory(Millis grace_period);

  // Adds or updates an entry.
  // @return whether anything but the heartbeat time changed, or the entry had
  // expired.
  bool Put(const UpstreamEntry& entry);

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
  };

  const Millis grace_period_;
  std::map<InstanceId, Upstream> upstreams_;
  bool registry_unavailable_ = false;
  bool in_grace_ = false;
  Millis grace_ends_;
};

}  // namespace bergamotscale::route

#endif  // BERGAMOTSCALE_SRC_ROUTE_DIRECTORY_H_
