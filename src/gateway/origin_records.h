// Bytes of stream origins, for datagrams between gateways and for the log.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_ORIGIN_RECORDS_H_
#define BERGAMOTSCALE_SRC_GATEWAY_ORIGIN_RECORDS_H_

#include <string>
#include <vector>

#include "bergamotscale/result.h"
#include "src/policy/stream_origins.h"

namespace bergamotscale::gateway {

// Encode as msgpack and decode; kMalformedBody if the bytes are malformed.
// Thread safety: safe.
std::string EncodeOrigins(const std::vector<policy::StreamRecord>& records);
Result<std::vector<policy::StreamRecord>> DecodeOrigins(
    const std::string& bytes);
std::string EncodeVersions(const policy::VersionSets& versions);
Result<policy::VersionSets> DecodeVersions(const std::string& bytes);

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_ORIGIN_RECORDS_H_
