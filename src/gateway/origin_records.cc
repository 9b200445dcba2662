#include "src/gateway/origin_records.h"

#include <exception>
#include <tuple>
#include <utility>

#include <msgpack.hpp>

#include "src/wire/unpack_limit.h"

namespace bergamotscale::gateway {
namespace {

using policy::StreamRecord;
using policy::VersionSets;

using RecordRow = std::tuple<std::string, std::string, std::string, int64_t>;
using VersionRow = std::tuple<std::string, std::vector<std::string>>;

template <typename Rows>
std::string Pack(const Rows& rows) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, rows);
  return {buffer.data(), buffer.size()};
}

template <typename Rows>
Result<Rows> Unpack(const std::string& bytes) {
  try {
    return msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
                           wire::MakeUnpackLimit(bytes))
        .get()
        .as<Rows>();
  } catch (const std::exception& error) {
    return Error(ErrorCode::kMalformedBody, error.what());
  }
}

}  // namespace

std::string EncodeOrigins(const std::vector<StreamRecord>& records) {
  std::vector<RecordRow> rows;
  rows.reserve(records.size());
  for (const StreamRecord& record : records) {
    rows.emplace_back(record.stream_.value(), record.origin_.group_.value(),
                      record.origin_.version_.value(), record.age_.count());
  }
  return Pack(rows);
}

Result<std::vector<StreamRecord>> DecodeOrigins(const std::string& bytes) {
  const auto rows = Unpack<std::vector<RecordRow>>(bytes);
  if (!rows.ok()) {
    return rows.error();
  }
  std::vector<StreamRecord> records;
  for (const auto& [stream, group, version, age] : rows.value()) {
    records.push_back({RequestId(stream),
                       {GroupId(group), SoftwareVersion(version)},
                       Millis(age)});
  }
  return records;
}

std::string EncodeVersions(const VersionSets& versions) {
  std::vector<VersionRow> rows;
  for (const auto& [group, names] : versions) {
    std::vector<std::string> texts;
    for (const SoftwareVersion& name : names) {
      texts.push_back(name.value());
    }
    rows.emplace_back(group.value(), std::move(texts));
  }
  return Pack(rows);
}

Result<VersionSets> DecodeVersions(const std::string& bytes) {
  const auto rows = Unpack<std::vector<VersionRow>>(bytes);
  if (!rows.ok()) {
    return rows.error();
  }
  VersionSets versions;
  for (const auto& [group, names] : rows.value()) {
    for (const std::string& name : names) {
      versions[GroupId(group)].insert(SoftwareVersion(name));
    }
  }
  return versions;
}

}  // namespace bergamotscale::gateway
