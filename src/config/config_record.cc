#include "src/config/config_record.h"

namespace bergamotscale::config {
namespace {

using nlohmann::json;

constexpr char kPublication[] = "publication";
constexpr char kSnapshot[] = "snapshot";

json ToJson(const PublicationRecord& record) {
  json value = {
      {"type", kPublication},         {"id", record.id_.value()},
      {"base", record.base_.value()}, {"author", record.author_},
      {"comment", record.comment_},   {"time_ms", record.time_.count()}};
  if (record.document_.is_null()) {
    value["delta"] = record.delta_;
  } else {
    value["document"] = record.document_;
  }
  return value;
}

json ToJson(const SnapshotRecord& record) {
  return {{"type", kSnapshot},
          {"revision", record.revision_.value()},
          {"as_of", record.as_of_.value()},
          {"id", record.id_.value()},
          {"document", record.document_},
          {"author", record.author_},
          {"comment", record.comment_},
          {"time_ms", record.time_.count()}};
}

// The functions below throw json::exception if a member is missing or has the
// wrong type.
PublicationRecord ParsePublication(const json& value) {
  PublicationRecord record;
  record.id_ = PublicationId(value.at("id").get<std::string>());
  record.base_ = Revision(value.at("base").get<int64_t>());
  if (value.contains("document")) {
    record.document_ = value.at("document").get<json::object_t>();
  } else {
    record.delta_ = value.at("delta").get<json::array_t>();
  }
  record.author_ = value.value("author", std::string());
  record.comment_ = value.value("comment", std::string());
  record.time_ = Millis(value.value("time_ms", int64_t{0}));
  return record;
}

SnapshotRecord ParseSnapshot(const json& value) {
  SnapshotRecord record;
  record.revision_ = Revision(value.at("revision").get<int64_t>());
  record.as_of_ = LogOffset(value.at("as_of").get<int64_t>());
  record.id_ = PublicationId(value.at("id").get<std::string>());
  record.document_ = value.at("document").get<json::object_t>();
  record.author_ = value.value("author", std::string());
  record.comment_ = value.value("comment", std::string());
  record.time_ = Millis(value.value("time_ms", int64_t{0}));
  return record;
}

}  // namespace

std::string EncodeRecord(const ConfigRecord& record) {
  const json value =
      std::visit([](const auto& entry) { return ToJson(entry); }, record);
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<ConfigRecord> DecodeRecord(const std::string& payload) {
  try {
    const json value = json::parse(payload);
    const auto type = value.at("type").get<std::string>();
    if (type == kPublication) {
      return ConfigRecord(ParsePublication(value));
    }
    if (type == kSnapshot) {
      return ConfigRecord(ParseSnapshot(value));
    }
    return Error(ErrorCode::kProtocolError, "unknown type " + type);
  } catch (const json::exception& failure) {
    return Error(ErrorCode::kProtocolError, failure.what());
  }
}

}  // namespace bergamotscale::config
