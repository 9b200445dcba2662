#include "src/placement/records.h"

#include <array>
#include <exception>
#include <stdexcept>
#include <type_traits>

#include <nlohmann/json.hpp>

namespace bergamotscale::placement {
namespace {

using nlohmann::json;

constexpr std::array<const char*, 5> kActionNames = {
    "load_model", "unload_model", "load_adapter", "unload_adapter", "set_role"};

constexpr char kOrder[] = "engine_order";

Millis MillisOf(const json& record, const char* key) {
  return Millis(record.at(key).get<int64_t>());
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
  order.fence_ = lease::Fence(record.at("fence").get<int64_t>());
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
  return std::visit(
      [](const auto& known) -> std::string {
        if constexpr (std::is_same_v<std::decay_t<decltype(known)>,
                                     EngineOrder>) {
          return ToJson(known).dump();
        } else {
          return lease::EncodeRecord(known);
        }
      },
      record);
}

Result<PlacementRecord> DecodeRecord(const std::string& payload) {
  try {
    const json record = json::parse(payload);
    if (record.at("type").get<std::string>() == kOrder) {
      return PlacementRecord(OrderOf(record));
    }
  } catch (const std::exception& failure) {
    return Error(ErrorCode::kProtocolError, failure.what());
  }
  const Result<lease::LeaseRecord> decoded = lease::DecodeRecord(payload);
  if (!decoded.ok()) {
    return decoded.error();
  }
  return std::visit([](const auto& known) { return PlacementRecord(known); },
                    decoded.value());
}

std::string EngineOrderBody(const EngineOrder& order) {
  return OrderFields(order).dump();
}

}  // namespace bergamotscale::placement
