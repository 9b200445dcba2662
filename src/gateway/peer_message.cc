#include "src/gateway/peer_message.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <exception>
#include <tuple>
#include <utility>

#include <msgpack.hpp>

#include "src/duties/usage_codec.h"
#include "src/gateway/origin_records.h"
#include "src/wire/unpack_limit.h"

namespace bergamotscale::gateway {
namespace {

// Tokens are integers, because msgpack uses nine bytes for any double.
using LoadRow = std::tuple<uint64_t, int, int64_t>;
using ShortPromptRow = std::tuple<uint64_t, int, int64_t>;
using SuspectRow = std::tuple<uint64_t, int, bool, int64_t, uint64_t>;
using SuspectPartsRow = std::tuple<std::vector<uint64_t>, int, int64_t>;
using PartRow = std::tuple<uint64_t, int64_t>;
using PromptRow = std::tuple<uint64_t, std::vector<PartRow>>;
using StatusRow = std::tuple<uint32_t, int64_t, bool, bool>;
// The rate is in requests per 1,000 seconds; negative for none.
using RateRow = std::tuple<uint64_t, int64_t, int64_t>;
using EncodedMessage = std::tuple<int64_t,
                                  int64_t,
                                  std::vector<std::string>,
                                  std::vector<LoadRow>,
                                  std::vector<SuspectRow>,
                                  std::vector<PromptRow>,
                                  StatusRow,
                                  std::vector<ShortPromptRow>,
                                  std::vector<SuspectPartsRow>,
                                  std::vector<RateRow>,
                                  int64_t,
                                  std::string,   // versions, may be empty
                                  std::string>;  // origins, may be empty

// Demand is in thousandths of a server.
using DemandRow = std::tuple<std::string, std::string, int64_t>;
using EncodedDuties = std::tuple<int64_t,      // token
                                 int64_t,      // wall clock
                                 std::string,  // usage, may be empty
                                 std::vector<DemandRow>>;
// Only with duties, so that the datagrams of other deployments don't change.
// Earlier versions ignore fields that they don't know.
using EncodedWithDuties =
    decltype(std::tuple_cat(std::declval<EncodedMessage>(),
                            std::declval<std::tuple<std::string>>()));

// The speed is in tokens per second.
using SpeedRow = std::tuple<uint64_t, int64_t>;
// Only with samples. The field of the duties may be empty then.
using EncodedWithSpeeds =
    decltype(std::tuple_cat(std::declval<EncodedWithDuties>(),
                            std::declval<std::tuple<std::vector<SpeedRow>>>()));

constexpr int64_t kNoRate = -1;
constexpr double kRateUnit = 1'000;
constexpr double kDemandUnit = 1'000;
constexpr double kSpeedUnit = 1'000;
constexpr size_t kMaxSpeedRows = 64;
constexpr size_t kMaxDemandRows = 256;
constexpr size_t kMaxNameBytes = 128;
constexpr double kMaxBusyServers = 1e6;

template <typename Row>
std::string Pack(const Row& row) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, row);
  return {buffer.data(), buffer.size()};
}

// Drops the oldest windows if all of them would not fit a datagram.
std::string EncodeBoundedUsage(duties::MemberUsage usage) {
  std::string bytes = duties::EncodeUsage({usage});
  while (bytes.size() > kMaxUsageBytes && !usage.windows_.empty()) {
    usage.windows_.erase(usage.windows_.begin());
    bytes = duties::EncodeUsage({usage});
  }
  return bytes;
}

std::vector<SpeedRow> EncodeSpeeds(const std::vector<SpeedSample>& speeds) {
  std::vector<SpeedRow> rows;
  for (const SpeedSample& speed : speeds) {
    if (rows.size() < kMaxSpeedRows) {
      rows.emplace_back(speed.id_hash_,
                        std::llround(speed.tokens_per_ms_ * kSpeedUnit));
    }
  }
  return rows;
}

// Peers refuse what is beyond the limits, so it is left out here.
std::string EncodeDuties(const DutyMessage& message) {
  EncodedDuties fields;
  std::get<0>(fields) = message.duty_token_.value();
  std::get<1>(fields) =
      std::clamp(message.wall_.count(), int64_t{0}, duties::kMaxTime);
  if (message.usage_.has_value()) {
    std::get<2>(fields) = EncodeBoundedUsage(*message.usage_);
  }
  for (const duties::ServiceDemand& demand : message.demand_) {
    const bool is_valid = std::isfinite(demand.busy_servers_) &&
                          demand.service_.value().size() <= kMaxNameBytes &&
                          demand.zone_.value().size() <= kMaxNameBytes;
    if (is_valid && std::get<3>(fields).size() < kMaxDemandRows) {
      const double busy =
          std::clamp(demand.busy_servers_, 0.0, kMaxBusyServers);
      std::get<3>(fields).emplace_back(demand.service_.value(),
                                       demand.zone_.value(),
                                       std::llround(busy * kDemandUnit));
    }
  }
  return Pack(fields);
}

Result<DutyMessage> DecodeDuties(const std::string& bytes) {
  const auto fields = msgpack::unpack(bytes.data(), bytes.size(), nullptr,
                                      nullptr, wire::MakeUnpackLimit(bytes))
                          .get()
                          .as<EncodedDuties>();
  const auto& [token, wall, usage, demand] = fields;
  // Arithmetic on times must not overflow.
  if (token < 0 || wall < 0 || wall > duties::kMaxTime ||
      usage.size() > kMaxUsageBytes || demand.size() > kMaxDemandRows) {
    return Error(ErrorCode::kProtocolError, "impossible state of the duties");
  }
  DutyMessage message;
  message.duty_token_ = lease::Fence(token);
  message.wall_ = Millis(wall);
  if (!usage.empty()) {
    auto members = duties::DecodeUsage(usage);
    if (!members.ok()) {
      return members.error();
    }
    if (members.value().size() != 1) {
      return Error(ErrorCode::kProtocolError, "usage of several gateways");
    }
    message.usage_ = std::move(members.value().front());
  }
  for (const auto& [service, zone, thousandths] : demand) {
    const double busy = static_cast<double>(thousandths) / kDemandUnit;
    if (service.size() > kMaxNameBytes || zone.size() > kMaxNameBytes ||
        busy < 0 || busy > kMaxBusyServers) {
      return Error(ErrorCode::kProtocolError, "impossible demand");
    }
    message.demand_.push_back({GroupId(service), ZoneId(zone), busy});
  }
  return message;
}

}  // namespace

std::string WritePeerMessage(const PeerMessage& message) {
  EncodedMessage fields;
  std::get<0>(fields) = message.incarnation_;
  std::get<1>(fields) = message.sequence_number_;
  std::get<2>(fields) = message.known_peers_;
  for (const InstanceLoad& load : message.loads_.instances_) {
    std::get<3>(fields).emplace_back(load.id_hash_, load.running_,
                                     static_cast<int64_t>(load.unread_tokens_));
  }
  for (const ShortPromptLoad& load : message.loads_.short_prompts_) {
    std::get<7>(fields).emplace_back(load.group_hash_, load.running_,
                                     static_cast<int64_t>(load.tokens_per_s_));
  }
  for (const policy::CrashRecord& record : message.suspects_) {
    std::get<4>(fields).emplace_back(
        record.digest_, record.crashes_, record.blocked_,
        record.expires_in_.count(), record.source_);
  }
  for (const policy::SuspectParts& suspects : message.suspect_parts_) {
    std::get<8>(fields).emplace_back(suspects.parts_, suspects.crashes_,
                                     suspects.expires_in_.count());
  }
  for (const SentPrompt& prompt : message.prompts_) {
    std::vector<PartRow> parts;
    for (const policy::SharedPromptPart& part : prompt.shared_) {
      parts.emplace_back(part.prefix_hash_, part.tokens_.count());
    }
    std::get<5>(fields).emplace_back(prompt.id_hash_, std::move(parts));
  }
  for (const policy::RateNotice& rate : message.rates_) {
    const int64_t encoded =
        rate.per_second_.has_value()
            ? int64_t{std::llround(*rate.per_second_ * kRateUnit)}
            : kNoRate;
    std::get<9>(fields).emplace_back(rate.upstream_, encoded,
                                     rate.age_.count());
  }
  std::get<10>(fields) = message.config_version_;
  if (!message.versions_.empty()) {
    std::get<11>(fields) = EncodeVersions(message.versions_);
  }
  if (!message.origins_.empty()) {
    std::get<12>(fields) = EncodeOrigins(message.origins_);
  }
  std::get<6>(fields) = {message.status_.zone_hash_, message.status_.link_kbps_,
                         message.status_.is_shedding_, message.has_loads_};
  if (!message.duties_.has_value() && message.speeds_.empty()) {
    return Pack(fields);
  }
  const EncodedWithDuties with_duties = std::tuple_cat(
      std::move(fields), std::make_tuple(message.duties_.has_value()
                                             ? EncodeDuties(*message.duties_)
                                             : std::string()));
  if (message.speeds_.empty()) {
    return Pack(with_duties);
  }
  return Pack(std::tuple_cat(with_duties,
                             std::make_tuple(EncodeSpeeds(message.speeds_))));
}

Result<PeerMessage> ReadPeerMessage(std::string_view bytes) {
  try {
    const EncodedWithSpeeds fields =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
                        wire::MakeUnpackLimit(bytes))
            .get()
            .as<EncodedWithSpeeds>();
    PeerMessage message;
    message.incarnation_ = std::get<0>(fields);
    message.sequence_number_ = std::get<1>(fields);
    message.known_peers_ = std::get<2>(fields);
    for (const auto& [id_hash, running, unread] : std::get<3>(fields)) {
      message.loads_.instances_.push_back(
          {id_hash, running, static_cast<double>(unread)});
    }
    for (const auto& [group_hash, running, tokens] : std::get<7>(fields)) {
      message.loads_.short_prompts_.push_back(
          {group_hash, running, static_cast<double>(tokens)});
    }
    for (const auto& [digest, crashes, blocked, expires, source] :
         std::get<4>(fields)) {
      message.suspects_.push_back(
          {digest, crashes, blocked, Millis(expires), source});
    }
    for (const auto& [parts, crashes, expires] : std::get<8>(fields)) {
      message.suspect_parts_.push_back({parts, crashes, Millis(expires)});
    }
    for (const auto& [id_hash, parts] : std::get<5>(fields)) {
      SentPrompt prompt;
      prompt.id_hash_ = id_hash;
      for (const auto& [prefix_hash, tokens] : parts) {
        prompt.shared_.push_back({prefix_hash, Tokens(tokens)});
      }
      message.prompts_.push_back(std::move(prompt));
    }
    for (const auto& [upstream, rate, age] : std::get<9>(fields)) {
      policy::RateNotice notice;
      notice.upstream_ = upstream;
      if (rate >= 0) {
        notice.per_second_ = static_cast<double>(rate) / kRateUnit;
      }
      notice.age_ = Millis(age);
      message.rates_.push_back(notice);
    }
    const auto& [zone_hash, link_kbps, is_shedding, has_loads] =
        std::get<6>(fields);
    message.status_ = {zone_hash, link_kbps, is_shedding};
    message.has_loads_ = has_loads;
    message.config_version_ = std::get<10>(fields);
    if (!std::get<11>(fields).empty()) {
      auto versions = DecodeVersions(std::get<11>(fields));
      if (!versions.ok()) {
        return versions.error();
      }
      message.versions_ = std::move(versions).value();
    }
    if (!std::get<12>(fields).empty()) {
      auto origins = DecodeOrigins(std::get<12>(fields));
      if (!origins.ok()) {
        return origins.error();
      }
      message.origins_ = std::move(origins).value();
    }
    if (!std::get<13>(fields).empty()) {
      auto duties = DecodeDuties(std::get<13>(fields));
      if (!duties.ok()) {
        return duties.error();
      }
      message.duties_ = std::move(duties).value();
    }
    for (const auto& [id_hash, speed] : std::get<14>(fields)) {
      message.speeds_.push_back(
          {id_hash, static_cast<double>(speed) / kSpeedUnit});
    }
    return message;
  } catch (const std::exception& error) {
    return Error(ErrorCode::kProtocolError, error.what());
  }
}

}  // namespace bergamotscale::gateway
