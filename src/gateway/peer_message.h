// The datagram that gateways send to one another.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_PEER_MESSAGE_H_
#define BERGAMOTSCALE_SRC_GATEWAY_PEER_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bergamotscale/result.h"
#include "bergamotscale/units.h"
#include "src/duties/scale_plan.h"
#include "src/duties/usage_ledger.h"
#include "src/gateway/upstream_set.h"
#include "src/lease/records.h"
#include "src/policy/part_quarantine.h"
#include "src/policy/quarantine.h"
#include "src/policy/shared_rate_limits.h"
#include "src/policy/stream_origins.h"

namespace bergamotscale::gateway {

// The availability zone of a gateway and the state of its network link.
struct PeerStatus {
  uint32_t zone_hash_ = 0;
  int64_t link_kbps_ = 0;  // zero if unknown
  // Whether the gateway closes connections so that callers use other gateways.
  bool is_shedding_ = false;
};

// Limit of the usage in a datagram, which has at most 64 KiB. The oldest
// windows are left out if they don't fit.
inline constexpr size_t kMaxUsageBytes = size_t{40} << 10;

// What a gateway tells its peers about the singleton duties.
struct DutyMessage {
  // The token of the lease if the sender holds it, else zero.
  lease::Fence duty_token_;
  Millis wall_;  // the sender's wall clock when it sent this
  // Not in each datagram.
  std::optional<duties::MemberUsage> usage_;
  // Demand measured by the sender; not in each datagram. At most 256 entries
  // are sent.
  std::vector<duties::ServiceDemand> demand_;
};

struct PeerMessage {
  // Distinguishes datagrams of this process from those before a restart.
  int64_t incarnation_ = 0;
  int64_t sequence_number_ = 0;
  PeerStatus status_;
  // Of the configuration in force; zero until the sender has asked its peers
  // for a newer one.
  int64_t config_version_ = 0;
  // True if loads_ is complete; false if the message carries no loads.
  bool has_loads_ = false;
  // "IP:PORT" of the gateways from which the sender receives datagrams.
  std::vector<std::string> known_peers_;
  LoadReport loads_;
  std::vector<policy::CrashRecord> suspects_;
  std::vector<policy::SuspectParts> suspect_parts_;
  std::vector<SentPrompt> prompts_;
  std::vector<policy::RateNotice> rates_;
  // Of groups with several versions: these, and recent streams begun there.
  policy::VersionSets versions_;
  std::vector<policy::StreamRecord> origins_;
  // Of the sender's requests since its last such message; only while reports
  // are stale. At most 64 are sent.
  std::vector<SpeedSample> speeds_;
  // Absent in deployments without singleton duties.
  std::optional<DutyMessage> duties_;
};

// @return the message as msgpack bytes. Thread safety: safe.
std::string WritePeerMessage(const PeerMessage& message);

// @return the message, or kProtocolError if the bytes are malformed.
// Thread safety: safe.
Result<PeerMessage> ReadPeerMessage(std::string_view bytes);

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_PEER_MESSAGE_H_
