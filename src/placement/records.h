// Records of the placement stream: the lease to send engine orders, and the
// orders.
#ifndef BERGAMOTSCALE_SRC_PLACEMENT_RECORDS_H_
#define BERGAMOTSCALE_SRC_PLACEMENT_RECORDS_H_

#include <string>
#include <variant>

#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"

namespace bergamotscale::placement {

// Unique for each lease request.
using LeaseId = StringId<struct LeaseIdTag>;
// Fencing number: the offset of the record that granted the lease. Increases
// with each grant.
using Fence = NumberId<struct FenceTag>;

// Requests the lease. If granted, its offset becomes the fencing number.
struct LeaseRequest {
  LeaseId lease_;
  InstanceId holder_;
  Millis ttl_;
  Millis wall_;  // of the writer
};

// Extends a lease. Contains the whole lease, for readers that start after the
// request was deleted from the log.
struct LeaseRenewal {
  Fence fence_;
  LeaseId lease_;
  InstanceId holder_;
  Millis ttl_;
  Millis wall_;
};

struct LeaseRelease {
  Fence fence_;
  Millis wall_;
};

enum class EngineAction {
  kLoadModel,
  kUnloadModel,
  kLoadAdapter,
  kUnloadAdapter,
  kSetRole,
};

// @return the stable name in the engines' API, such as "load_model".
const char* ActionName(EngineAction action);

// An order to the engine of one sidecar.
struct EngineOrder {
  Fence fence_;
  InstanceId sidecar_;
  EngineAction action_ = EngineAction::kLoadModel;
  ModelId model_;
  std::string adapter_;
  std::string version_;
  std::string role_;
  Millis wall_;
  // Wall time from which on it must not be started; zero for no expiry. Orders
  // that fetch weights expire so that the weight store's limit can be enforced.
  Millis expires_;
};

// @return whether the order makes the engine fetch from the weight store.
bool FetchesWeights(const EngineOrder& order);

using PlacementRecord =
    std::variant<LeaseRequest, LeaseRenewal, LeaseRelease, EngineOrder>;

// @return a description of the order for logs and timelines. Thread safety:
// safe.
std::string DescribeOrder(const EngineOrder& order);

// @return the payload for the log. Thread safety: safe.
std::string EncodeRecord(const PlacementRecord& record);
// @return the record, or kProtocolError. Thread safety: safe.
Result<PlacementRecord> DecodeRecord(const std::string& payload);

// @return the body of an engine's POST /orders. Thread safety: safe.
std::string EngineOrderBody(const EngineOrder& order);

}  // namespace bergamotscale::placement

#endif  // BERGAMOTSCALE_SRC_PLACEMENT_RECORDS_H_
