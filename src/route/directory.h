// The upstream instances that are known, kept over outages of their registry.
#ifndef BERGAMOTSCALE_SRC_ROUTE_DIRECTORY_H_
#define BERGAMOTSCALE_SRC_ROUTE_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::route {

// An incarnation of an upstream instance, as it registered itself.
struct UpstreamEntry {
  InstanceId id_;
  // Unix milliseconds of its start; tells incarnations of one id apart.
  int64_t started_at_ = 0;
  GroupId group_;
  std::string ip_;
  uint16_t port_ = 0;
  ZoneId zone_;
  int slots_ = 1;
  bool draining_ = false;
};

// Keeps the entries of upstreams. An entry that lapsed while the registry was
// away may belong to a live upstream that could not renew it, so it is kept
// until a grace period after the registry's return.
// Thread safety: none.
class Directory {
 public:
  // @param lapse_grace how long after the registry's return a live upstream
  // has renewed its entry.
  explicit Directory(Millis lapse_grace);

  // An entry was written.
  // @return whether anything but the time of the heartbeat changed.
  bool Put(const UpstreamEntry& entry);

  // An entry was removed. @return whether an upstream left at once.
  bool Remove(const InstanceId& id, Millis now);

  // All entries that the registry holds; others were removed.
  void Replace(const std::vector<UpstreamEntry>& entries, Millis now);

  // The registry could not be read. It counts as back at the next OnBack().
  void OnAway();
  // The registry was read. Idempotent.
  void OnBack(Millis now);

  // Drops entries whose grace period has ended.
  // @return whether any was dropped.
  bool Expire(Millis now);

  // @return the known upstreams in the order of their ids.
  std::vector<UpstreamEntry> Entries() const;

 private:
  struct Held {
    UpstreamEntry entry_;
    bool lapsed_ = false;
  };

  const Millis lapse_grace_;
  std::map<InstanceId, Held> held_;
  bool away_ = false;
  bool in_grace_ = false;
  Millis grace_ends_;
};

}  // namespace bergamotscale::route

#endif  // BERGAMOTSCALE_SRC_ROUTE_DIRECTORY_H_
