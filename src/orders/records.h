// Records of the orders stream. One append carries a batch of them.
#ifndef BERGAMOTSCALE_SRC_ORDERS_RECORDS_H_
#define BERGAMOTSCALE_SRC_ORDERS_RECORDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"

namespace bergamotscale::orders {

// Unique for each attempt to claim; never used twice.
using ClaimId = StringId<struct ClaimIdTag>;

enum class RecordKind {
  kClaim = 0,    // asks to own the only attempt
  kOutcome = 1,  // the owner's attempt has ended
  kRelease = 2,  // the owner's attempt did not run and never will
};

}  // namespace bergamotscale::orders

MSGPACK_ADD_ENUM(bergamotscale::orders::RecordKind)

namespace bergamotscale::orders {

// What a caller names an order by.
struct OrderKey {
  WorkspaceId workspace_;
  IdempotencyKey key_;
  MSGPACK_DEFINE(workspace_, key_)

  friend bool operator<(const OrderKey& a, const OrderKey& b) {
    return a.workspace_ != b.workspace_ ? a.workspace_ < b.workspace_
                                        : a.key_ < b.key_;
  }
  friend bool operator==(const OrderKey& a, const OrderKey& b) {
    return a.workspace_ == b.workspace_ && a.key_ == b.key_;
  }
};

// @return a hash that is the same in every process. Thread safety: safe.
uint64_t HashOf(const OrderKey& key);

// When the caller made the key, if the key tells: a UUID of version 7 carries
// milliseconds since 1970. Thread safety: safe.
std::optional<Millis> DateOf(const IdempotencyKey& key);

// The answer of an execution, as a resend gets it.
struct Outcome {
  // Other than kOk if the execution failed and may have run.
  ErrorCode code_ = ErrorCode::kOk;
  int http_status_ = 200;
  std::string content_type_;
  std::string body_;
  // Text of a streamed answer; empty for a plain service.
  std::string text_;
  std::string finish_reason_;
  Tokens prompt_tokens_;
  Tokens output_tokens_;
  // Answers over the size limit are not kept.
  bool kept_ = true;
  MSGPACK_DEFINE(code_,
                 http_status_,
                 content_type_,
                 body_,
                 text_,
                 finish_reason_,
                 prompt_tokens_,
                 output_tokens_,
                 kept_)
};

struct OrderRecord {
  RecordKind kind_ = RecordKind::kClaim;
  OrderKey key_;
  ClaimId claim_;
  InstanceId sidecar_;
  // Digest of what would be executed.
  uint64_t digest_ = 0;
  // Wall time of the writer.
  Millis wall_;
  Outcome outcome_;
  MSGPACK_DEFINE(kind_, key_, claim_, sidecar_, digest_, wall_, outcome_)
};

// One part of a snapshot: hashes of all keys without a date that were claimed
// before an offset. It outlives the records that it stands for.
struct SnapshotPart {
  std::string snapshot_id_;
  LogOffset through_;
  int part_ = 0;
  int parts_ = 0;
  std::vector<uint64_t> key_hashes_;
  MSGPACK_DEFINE(snapshot_id_, through_, part_, parts_, key_hashes_)
};

// What one append carries.
struct OrderBatch {
  std::vector<OrderRecord> records_;
  std::vector<SnapshotPart> snapshot_parts_;
  MSGPACK_DEFINE(records_, snapshot_parts_)
};

std::string EncodeBatch(const OrderBatch& batch);
// @return the batch, or kProtocolError.
Result<OrderBatch> DecodeBatch(const std::string& payload);

}  // namespace bergamotscale::orders

#endif  // BERGAMOTSCALE_SRC_ORDERS_RECORDS_H_
