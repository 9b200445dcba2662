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

// Unique for each claim; never reused.
using ClaimId = StringId<struct ClaimIdTag>;

enum class RecordKind {
  kClaim = 0,    // requests the right to execute the order
  kOutcome = 1,  // the owner's execution has ended
  kRelease = 2,  // the owner did not execute the order and never will
};

}  // namespace bergamotscale::orders

MSGPACK_ADD_ENUM(bergamotscale::orders::RecordKind)

namespace bergamotscale::orders {

// Identifies an order.
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
uint64_t HashOrderKey(const OrderKey& key);

// @return the time at which the key was made, if it is a UUID of version 7,
// which contains milliseconds since 1970. Thread safety: safe.
std::optional<Millis> GetKeyTimestamp(const IdempotencyKey& key);

// The recorded response of an execution, as sent to retries.
struct Outcome {
  // Not kOk if the execution failed but may have run.
  ErrorCode code_ = ErrorCode::kOk;
  int http_status_ = 200;
  std::string content_type_;
  std::string body_;
  // Text of a streamed response; empty for a plain service.
  std::string text_;
  std::string finish_reason_;
  Tokens prompt_tokens_;
  Tokens output_tokens_;
  // False if the response exceeded the size limit and was not stored.
  bool body_stored_ = true;
  MSGPACK_DEFINE(code_,
                 http_status_,
                 content_type_,
                 body_,
                 text_,
                 finish_reason_,
                 prompt_tokens_,
                 output_tokens_,
                 body_stored_)
};

struct OrderRecord {
  RecordKind kind_ = RecordKind::kClaim;
  OrderKey key_;
  ClaimId claim_;
  InstanceId sidecar_;
  // Digest of the request.
  uint64_t digest_ = 0;
  // Wall time of the writer.
  Millis wall_;
  Outcome outcome_;
  MSGPACK_DEFINE(kind_, key_, claim_, sidecar_, digest_, wall_, outcome_)
};

// One part of a snapshot: hashes of all keys without a timestamp that were
// claimed before an offset. Keeps these keys known after the log's retention
// has deleted their records.
struct SnapshotPart {
  std::string snapshot_id_;
  LogOffset through_;
  int part_ = 0;
  int parts_ = 0;
  std::vector<uint64_t> key_hashes_;
  MSGPACK_DEFINE(snapshot_id_, through_, part_, parts_, key_hashes_)
};

// The payload of one append.
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
