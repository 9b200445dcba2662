#include "src/gateway/peer_message.h"

#include <cmath>
#include <exception>
#include <tuple>
#include <utility>

#include <msgpack.hpp>

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

constexpr int64_t kNoRate = -1;
constexpr double kRateUnit = 1'000;

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
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, fields);
  return {buffer.data(), buffer.size()};
}

Result<PeerMessage> ReadPeerMessage(std::string_view bytes) {
  try {
    const EncodedMessage fields =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
                        wire::MakeUnpackLimit(bytes))
            .get()
            .as<EncodedMessage>();
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
    return message;
  } catch (const std::exception& error) {
    return Error(ErrorCode::kProtocolError, error.what());
  }
}

}  // namespace bergamotscale::gateway
