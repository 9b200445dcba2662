// Records of the placement stream: the lease to send engine orders, and the
// orders.
#ifndef BERGAMOTSCALE_SRC_PLACEMENT_RECORDS_H_
#define BERGAMOTSCALE_SRC_PLACEMENT_RECORDS_H_

#include <string>
#include <variant>

#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"
#include "src/lease/records.h"

namespace bergamotscale::placement {

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
  lease::Fence fence_;
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

using PlacementRecord = std::variant<lease::LeaseRequest,
                                     lease::LeaseRenewal,
                                     lease::LeaseRelease,
                                     EngineOrder>;

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
