#include "src/lease/records.h"

#include <cstdint>
#include <exception>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace bergamotscale::lease {
namespace {

using nlohmann::json;

constexpr char kRequest[] = "lease_request";
constexpr char kRenewal[] = "lease_renewal";
constexpr char kRelease[] = "lease_release";

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

LeaseRecord RecordOf(const json& record) {
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
  throw std::invalid_argument("unknown record");
}

}  // namespace

std::string EncodeRecord(const LeaseRecord& record) {
  return std::visit([](const auto& known) { return ToJson(known).dump(); },
                    record);
}

Result<LeaseRecord> DecodeRecord(const std::string& payload) {
  try {
    return RecordOf(json::parse(payload));
  } catch (const std::exception& failure) {
    return Error(ErrorCode::kProtocolError, failure.what());
  }
}

}  // namespace bergamotscale::lease
