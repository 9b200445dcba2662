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
  // URL of the list of live and leaving instances; may be empty.
  std::string instance_list_url_;

  link::LinkOptions link_options_;
  // Concurrent requests at the start; for an engine the number is then adapted.
  int initial_slots_ = 16;
  int max_slots_ = 256;
  // How long a granted slot is reserved for the entry's work.
  Millis grant_timeout_ = Millis(500);
  Millis status_interval_ = Millis(100);
  Millis health_interval_ = Millis(500);
  // A call fails after this long without data from the upstream.
  Millis upstream_timeout_ = Millis(30000);
  // The connection of an engine stream without data for this long is
  // considered lost.
  Millis stall_timeout_ = Millis(2000);
  Bytes max_answer_ = Bytes(16'777'216);
  Millis log_timeout_ = Millis(2000);
  Millis list_interval_ = Millis(1000);
  // Upper bound of the wait for running requests at shutdown.
  Millis drain_timeout_ = Millis(120'000);
  orders::ExecutorOptions orders_;
};

// Reads all fields of a sidecar's settings file.
// Thread safety: safe for different targets.
void ReadSidecarSettings(settings::FieldReader& reader,
                         SidecarSettings* settings);

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_SETTINGS_H_
