// Bytes of usage counts, for datagrams between gateways and for the store.
#ifndef BERGAMOTSCALE_SRC_DUTIES_USAGE_CODEC_H_
#define BERGAMOTSCALE_SRC_DUTIES_USAGE_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "bergamotscale/result.h"
#include "src/duties/usage_ledger.h"

namespace bergamotscale::duties {

// Larger numbers are not times, windows or counts; arithmetic on those within
// the limit can't overflow.
inline constexpr int64_t kMaxTime = int64_t{1} << 53;
inline constexpr int64_t kMaxWindow = int64_t{1} << 40;
inline constexpr int64_t kMaxCount = int64_t{1} << 40;

// Encodes as msgpack, with each workspace's name once. Thread safety: safe.
std::string EncodeUsage(const std::vector<MemberUsage>& members);
// @return the counts, or kProtocolError if the bytes are malformed or exceed a
// limit of the ledger. Thread safety: safe.
Result<std::vector<MemberUsage>> DecodeUsage(std::string_view bytes);

}  // namespace bergamotscale::duties

#endif  // BERGAMOTSCALE_SRC_DUTIES_USAGE_CODEC_H_
