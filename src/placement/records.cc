#include "src/placement/records.h"

#include <array>

#include <nlohmann/json.hpp>

namespace bergamotscale::placement {
namespace {

using nlohmann::json;

constexpr std::array<const char*, 5> kActionNames = {
    "load_model", "unload_model", "load_adapter", "unload_adapter", "set_role"};

constexpr char kRequest[] = "lease_request";
constexpr char kRenewal[] = "lease_renewal";
constexpr char kRelease[] = "lease_release";
constexpr char kOrder[] = "engine_order";

Millis MillisOf(const json& record, const char* key) {
  return Millis(record.at(key).get<int64_t>());
}

Fence FenceOf(const json& record) {
  return Fence(record.at("fence").get<int64_t>());
}

template <typename Id>
Id IdOf(const json& record, const char* key) {
  return Id(record.at(key).get<std::string>());
}

json OrderFields(const EngineOrder& order) {
  return {{"fence", order.fence_.value()}, {"order", ActionName(order.action_)},
          {"model", order.model_.value()}, {"adapter", order.adapter_},
          {"version", order.version_},     {"role", order.role_}};
}

json ToJson(const LeaseRequest& record) {
  return {{"type", kRequest},
          {"lease", record.lease_.value()},
          {"holder", record.holder_.value()},
          {"ttl_ms", record.ttl_.count()},
          {"wall_ms", record.wall_.count()}};
}

json ToJson(const LeaseRenewal& record) {
  return {{"type", kRenewal},
          {"fence", record.fence_.value()},
          {"lease", record.lease_.value()},
          {"holder", record.holder_.value()},
          {"ttl_ms", record.ttl_.count()},
          {"wall_ms", record.wall_.count()}};
}

json ToJson(const LeaseRelease& record) {
  return {{"type", kRelease},
          {"fence", record.fence_.value()},
          {"wall_ms", record.wall_.count()}};
}

json ToJson(const EngineOrder& record) {
  json fields = OrderFields(record);
  fields["type"] = kOrder;
  fields["sidecar"] = record.sidecar_.value();
  fields["wall_ms"] = record.wall_.count();
  fields["expires_ms"] = record.expires_.count();
  return fields;
}

EngineAction ActionOf(const std::string& name) {
  for (size_t index = 0; index < kActionNames.size(); ++index) {
    if (name == kActionNames[index]) {
      return static_cast<EngineAction>(index);
    }
  }
  throw std::invalid_argument("unknown order");
}

EngineOrder OrderOf(const json& record) {
  EngineOrder order;
  order.fence_ = FenceOf(record);
  order.sidecar_ = IdOf<InstanceId>(record, "sidecar");
  order.action_ = ActionOf(record.at("order").get<std::string>());
  order.model_ = IdOf<ModelId>(record, "model");
  order.adapter_ = record.at("adapter").get<std::string>();
  order.version_ = record.at("version").get<std::string>();
  order.role_ = record.at("role").get<std::string>();
  order.wall_ = MillisOf(record, "wall_ms");
  order.expires_ = Millis(record.value("expires_ms", int64_t{0}));
  return order;
}

PlacementRecord RecordOf(const json& record) {
  const auto type = record.at("type").get<std::string>();
  if (type == kRequest) {
    return LeaseRequest{
        IdOf<LeaseId>(record, "lease"), IdOf<InstanceId>(record, "holder"),
        MillisOf(record, "ttl_ms"), MillisOf(record, "wall_ms")};
  }
  if (type == kRenewal) {
    return LeaseRenewal{FenceOf(record), IdOf<LeaseId>(record, "lease"),
                        IdOf<InstanceId>(record, "holder"),
                        MillisOf(record, "ttl_ms"),
                        MillisOf(record, "wall_ms")};
  }
  if (type == kRelease) {
    return LeaseRelease{FenceOf(record), MillisOf(record, "wall_ms")};
  }
  if (type == kOrder) {
    return OrderOf(record);
  }
  throw std::invalid_argument("unknown record");
}

}  // namespace

const char* ActionName(EngineAction action) {
  return kActionNames.at(static_cast<size_t>(action));
}

bool FetchesWeights(const EngineOrder& order) {
  return order.action_ == EngineAction::kLoadModel ||
         order.action_ == EngineAction::kLoadAdapter;
}

std::string DescribeOrder(const EngineOrder& order) {
  std::string text = ActionName(order.action_);
  for (const std::string& part :
       {order.model_.value(), order.adapter_, order.version_, order.role_}) {
    text += part.empty() ? "" : " " + part;
  }
  return text + ", fence " + std::to_string(order.fence_.value());
}

std::string EncodeRecord(const PlacementRecord& record) {
  return std::visit([](const auto& known) { return ToJson(known).dump(); },
                    record);
}

Result<PlacementRecord> DecodeRecord(const std::string& payload) {
  try {
    return RecordOf(json::parse(payload));
  } catch (const std::exception& failure) {
    return Error(ErrorCode::kProtocolError, failure.what());
  }
}

std::string EngineOrderBody(const EngineOrder& order) {
  return OrderFields(order).dump();
}

}  // namespace bergamotscale::placement
