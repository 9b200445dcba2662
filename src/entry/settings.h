// Settings of the entry.
#ifndef BERGAMOTSCALE_SRC_ENTRY_SETTINGS_H_
#define BERGAMOTSCALE_SRC_ENTRY_SETTINGS_H_

#include <string>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"
#include "src/link/link.h"
#include "src/settings/field_reader.h"

namespace bergamotscale::entry {

// A sidecar as settings or the instance list name it.
struct SidecarMember {
  InstanceId id_;
  GroupId group_;
  ZoneId zone_;
  link::Endpoint endpoint_;
};

// An entry as the instance list names it.
struct EntryMember {
  InstanceId id_;
  ZoneId zone_;
};

// The instances to work with, each list in the order of ids.
struct Members {
  std::vector<SidecarMember> sidecars_;
  std::vector<EntryMember> entries_;
  // False while there is a list that has not been read yet.
  bool entries_known_ = true;
};

// How many links an entry keeps to sidecars. See PeerSubset.
struct SubsetSettings {
  // So many sidecars are all linked to.
  int full_mesh_up_to_ = 64;
  // With more, each sidecar has links from so many entries or more,
  int entries_per_sidecar_ = 4;
  // and each entry to so many sidecars of a group or more.
  int sidecars_per_group_ = 8;
};

// Bounds on callers' connections.
struct CallerLimits {
  int max_connections_ = 4096;
  Bytes max_header_ = Bytes(int64_t{16} * 1024);
  Bytes max_body_ = Bytes(int64_t{4} * 1024 * 1024);
  Millis header_timeout_ = Millis(5000);
  Millis body_timeout_ = Millis(15000);
  Millis idle_timeout_ = Millis(60000);
};

// How orders to engines are given by the entry that holds the lease.
struct PlacementSettings {
  Millis lease_ = Millis(15000);
  Millis plan_interval_ = Millis(1000);
  // The weight store allows so many fetches in any such time.
  int weight_fetches_ = 30;
  Millis weight_window_ = Millis(60000);
  // A load that has not begun by then is not begun any more.
  Millis order_lifetime_ = Millis(10000);
  // A load that has not ended by then is ordered again.
  Millis load_timeout_ = Millis(60000);
  // Time constant by which demand that has gone is forgotten.
  Millis demand_memory_ = Millis(60000);
};

struct EntrySettings {
  InstanceId instance_;
  ZoneId zone_;
  // Where callers connect, and the loopback endpoint of the HTTP listener.
  link::Endpoint public_;
  link::Endpoint listener_;
  std::string log_url_;
  // Empty if the sidecars are only those of the settings.
  std::string instance_list_url_;
  std::vector<SidecarMember> sidecars_;
  CallerLimits limits_;
  link::LinkOptions link_;
  PlacementSettings placement_;
  SubsetSettings subset_;
  int reservations_ = 3;
  int timeline_events_ = 20000;
  // Time between failing readiness and refusing new connections on a stop.
  Millis leave_grace_ = Millis(1000);
};

// Reads the settings; faults go to the reader. Thread safety: safe.
void ReadEntrySettings(settings::FieldReader& reader, EntrySettings* settings);

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_SETTINGS_H_
