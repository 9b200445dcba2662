// Settings of a sidecar.
#ifndef BERGAMOTSCALE_SRC_SIDECAR_SETTINGS_H_
#define BERGAMOTSCALE_SRC_SIDECAR_SETTINGS_H_

#include <string>

#include "bergamotscale/config_document.h"
#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"
#include "src/link/link.h"
#include "src/orders/order_executor.h"
#include "src/settings/field_reader.h"

namespace bergamotscale::sidecar {

struct SidecarSettings {
  InstanceId instance_;
  ZoneId zone_;
  GroupId group_;
  GroupKind kind_ = GroupKind::kEngine;
  // Such as "http://127.0.0.1:9001".
  std::string upstream_url_;
  link::Endpoint link_;
  link::Endpoint http_;
  std::string log_url_;
  // Empty if there is no list of live and leaving instances.
  std::string instance_list_url_;

  link::LinkOptions link_options_;
  // Requests that run at once; an engine's number is learned from there on.
  int initial_slots_ = 16;
  int max_slots_ = 256;
  // How long a slot is held for an entry that was granted it.
  Millis grant_timeout_ = Millis(500);
  Millis status_interval_ = Millis(100);
  Millis health_interval_ = Millis(500);
  // An upstream that is silent for this long during a call has failed.
  Millis upstream_timeout_ = Millis(30000);
  // An engine's stream that stands still for this long has gone silent.
  Millis stall_timeout_ = Millis(2000);
  Bytes max_answer_ = Bytes(16'777'216);
  Millis log_timeout_ = Millis(2000);
  Millis list_interval_ = Millis(1000);
  // A stop waits for running requests at most this long.
  Millis drain_timeout_ = Millis(120'000);
  orders::ExecutorOptions orders_;
};

// Reads all members of a sidecar's settings file.
// Thread safety: safe for different targets.
void ReadSidecarSettings(settings::FieldReader& reader,
                         SidecarSettings* settings);

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_SETTINGS_H_
