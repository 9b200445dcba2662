// Settings of the entry process.
#ifndef BERGAMOTSCALE_SRC_ENTRY_SETTINGS_H_
#define BERGAMOTSCALE_SRC_ENTRY_SETTINGS_H_

#include <string>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"
#include "src/link/link.h"
#include "src/settings/field_reader.h"

namespace bergamotscale::entry {

// A sidecar from the settings or the instance list.
struct SidecarMember {
  InstanceId id_;
  GroupId group_;
  ZoneId zone_;
  link::Endpoint endpoint_;
};

// An entry from the instance list.
struct EntryMember {
  InstanceId id_;
  ZoneId zone_;
};

// The known instances, each list sorted by id.
struct Members {
  std::vector<SidecarMember> sidecars_;
  std::vector<EntryMember> entries_;
  // False until the first instance list has been read, if there is one.
  bool entries_known_ = true;
};

// Limits how many links an entry keeps to sidecars. See PeerSubset.
struct SubsetSettings {
  // Up to this number of sidecars, an entry links to all of them.
  int full_mesh_up_to_ = 64;
  // With more sidecars, the minimum number of entries that link to each one.
  int entries_per_sidecar_ = 4;
  // With more sidecars, the minimum number in each group that an entry links
  // to.
  int sidecars_per_group_ = 8;
};

// Limits and timeouts of callers' connections.
struct CallerLimits {
  int max_connections_ = 4096;
  Bytes max_header_ = Bytes(int64_t{16} * 1024);
  Bytes max_body_ = Bytes(int64_t{4} * 1024 * 1024);
  Millis header_timeout_ = Millis(5000);
  Millis body_timeout_ = Millis(15000);
  Millis idle_timeout_ = Millis(60000);
};

// Settings of placement, used by the entry that holds the lease.
struct PlacementSettings {
  Millis lease_ = Millis(15000);
  Millis plan_interval_ = Millis(1000);
  // Rate limit of the weight store: fetches in any window of this length.
  int weight_fetches_ = 30;
  Millis weight_window_ = Millis(60000);
  // Time after which an engine no longer starts an order.
  Millis order_lifetime_ = Millis(10000);
  // Time after which an unfinished load is ordered again.
  Millis load_timeout_ = Millis(60000);
  // Time constant with which past demand decays.
  Millis demand_time_constant_ = Millis(60000);
};

struct EntrySettings {
  InstanceId instance_;
  ZoneId zone_;
  // Where callers connect.
  link::Endpoint public_;
  // Loopback endpoint of the HTTP listener.
  link::Endpoint listener_;
  std::string log_url_;
  // If empty, only the sidecars below are used.
  std::string instance_list_url_;
  std::vector<SidecarMember> sidecars_;
  CallerLimits limits_;
  link::LinkOptions link_;
  PlacementSettings placement_;
  SubsetSettings subset_;
  // Number of sidecars at which each request reserves capacity.
  int reservations_ = 3;
  int timeline_events_ = 20000;
  // During a stop, the time between failing readiness and refusing new
  // connections.
  Millis leave_grace_ = Millis(1000);
};

// Reads the settings; errors are recorded in the reader. Thread safety: safe.
void ReadEntrySettings(settings::FieldReader& reader, EntrySettings* settings);

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_SETTINGS_H_
