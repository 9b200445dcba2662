// Settings of a gateway.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_SETTINGS_H_
#define BERGAMOTSCALE_SRC_GATEWAY_SETTINGS_H_

#include <string>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"
#include "src/policy/shared_retry_budget.h"
#include "src/settings/field_reader.h"

namespace bergamotscale::gateway {

struct GatewaySettings {
  std::string instance_;
  ZoneId zone_;
  // "IP:PORT" for callers, for the readiness probe, and for operators.
  std::string listen_callers_;
  std::string listen_ready_;
  std::string listen_operators_;
  // Where datagrams of peers arrive, and peers to begin with.
  std::string listen_peers_;
  std::vector<std::string> first_peers_;
  // The log that holds the configuration and the upstreams.
  std::string log_address_;
  // A removed key is refused at the latest so long after its removal was
  // accepted.
  Millis revoke_ = Millis(5'000);
  // A change of the configuration is in force so long after it was accepted.
  Millis config_apply_ = Millis(2'000);
  // From the request to stop to the forced end.
  Millis stop_grace_ = Millis(8'000);
  policy::RetryBounds retries_;
  // Open sockets and files that the process may have.
  int max_descriptors_ = 1'024;
  // Of this machine's own link, each way; zero if it is not known.
  double link_mbps_ = 0;
};

// Takes the settings of a JSON object. Thread safety: safe.
void ReadGatewaySettings(settings::FieldReader& reader,
                         GatewaySettings* settings);

// @return whether both have the same in what a running gateway takes over:
// peers to begin with, bounds, the grace and the retry budget. Addresses, the
// instance and its limits stay until a restart. Thread safety: safe.
bool SameReloadable(const GatewaySettings& a, const GatewaySettings& b);

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_SETTINGS_H_
