// Settings of a gateway.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_SETTINGS_H_
#define BERGAMOTSCALE_SRC_GATEWAY_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"
#include "src/policy/shared_retry_budget.h"
#include "src/settings/field_reader.h"

namespace bergamotscale::gateway {

// Limit of the memory of a process if the settings state none.
inline constexpr double kDefaultMemoryMb = 256;

// Duties of which one gateway at a time calls the operator's API.
struct DutySettings {
  std::string address_;  // "IP:PORT" of the API
  bool reports_usage_ = false;
  bool orders_scale_ = false;
  Millis lease_ = Millis(3'000);
  // Length of the windows for which usage is reported.
  Millis report_window_ = Millis(5'000);
  // Time from the end of a window until its report is late.
  Millis usage_late_ = Millis(10'000);
};

struct GatewaySettings {
  std::string instance_;
  ZoneId zone_;
  // "IP:PORT" for callers, for the readiness probe, and for operators.
  std::string listen_callers_;
  std::string listen_ready_;
  std::string listen_operators_;
  // Address for datagrams of peers, and the addresses of the first peers to
  // contact.
  std::string listen_peers_;
  std::vector<std::string> seed_peers_;
  // The log that holds the configuration and the upstream registry.
  std::string log_address_;
  // Upper bound of the time from accepting the removal of a key until the key
  // is rejected.
  Millis max_revocation_delay_ = Millis(5'000);
  // Upper bound of the time from accepting a configuration until it is in
  // force.
  Millis max_config_delay_ = Millis(2'000);
  // Upper bound of the time from the registration of an upstream as draining
  // until it gets no more requests.
  Millis max_drain_delay_ = Millis(2'000);
  // Time from the request to stop until requests in flight are cut off.
  Millis stop_grace_ = Millis(8'000);
  policy::RetryBounds retries_;
  // Limit of open sockets and files of the process.
  int max_descriptors_ = 1'024;
  // Limit of the memory of the process, in MB.
  double memory_mb_ = kDefaultMemoryMb;
  // Whether the choice among engines allows for the age of the peers' reports.
  bool balances_stale_load_ = false;
  // Bandwidth of this machine's link in each direction; zero if unknown.
  double link_mbps_ = 0;
  // Empty if the deployment has no duties.
  std::optional<DutySettings> duties_;
};

// Reads the settings from a JSON object. Thread safety: safe.
void ReadGatewaySettings(settings::FieldReader& reader,
                         GatewaySettings* settings);

// @return whether the settings that a running gateway can apply are equal: seed
// peers, bounds, grace time and retry budget. Addresses, the instance and its
// limits need a restart. Thread safety: safe.
bool HaveSameReloadableSettings(const GatewaySettings& a,
                                const GatewaySettings& b);

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_SETTINGS_H_
