#include "src/gateway/gateway_impl.h"

#include <cinttypes>
#include <cstdio>
#include <string>

#include "src/core/chrono_time.h"
#include "src/gateway/take_up.h"

namespace bergamotscale::gateway {
namespace {

using boost::system::error_code;

// Interval for updating the load shedding and the shares of rates.
constexpr Millis kMaintenanceInterval = Millis(200);
constexpr double kPercent = 100;
constexpr double kMillisPerSecond = 1'000;
// Peers that serve callers answer within this time. One may have a newer
// configuration than a log that was restored from a copy.
constexpr Millis kMaxPeerDelay = Millis(500);

// @return the number as callers write the id of a prompt part.
std::string FormatHex(uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%" PRIx64, number);
  return text;
}

std::string FormatRate(double per_second) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", per_second);
  return text;
}

}  // namespace

void Gateway::Impl::OnControlChange() {
  const auto table = state_.table_.Read();
  if (table != nullptr) {
    for (const route::Service& service : table->services()) {
      upstreams_.SetCacheCapacity(service.name_, service.kv_capacity_);
    }
  }
  const auto upstreams = state_.upstreams_.Read();
  if (upstreams != nullptr) {
    UpdateVersions(*upstreams);
    upstreams_.Update(*upstreams);
  }
  ListenIfServing();
}

VersionUse Gateway::Impl::UseOfVersion(
    const policy::StreamOrigin& origin) const {
  if (context_.origins_.IsSettled(origin, boot_.Now())) {
    return VersionUse::kPreferred;
  }
  const bool may_begin = origin_log_ == nullptr || origin_log_->is_lost() ||
                         context_.origins_.IsStored(origin);
  return may_begin ? VersionUse::kIfNeeded : VersionUse::kNone;
}

void Gateway::Impl::UpdateVersions(
    const std::vector<route::UpstreamEntry>& upstreams) {
  policy::VersionSets versions;
  for (const route::UpstreamEntry& upstream : upstreams) {
    versions[upstream.group_].insert(upstream.version_);
  }
  context_.origins_.OnListed(versions, boot_.Now());
  if (origin_log_ != nullptr) {
    origin_log_->Update();
  }
}

void Gateway::Impl::ListenIfServing() {
  if (listens_for_callers_) {
    return;
  }
  const bool awaits_peers = expects_peers_ && state_.peer_version_ == 0 &&
                            (listen_retry_.IsPending("peers") ||
                             boot_.Now() - peers_asked_at_ < kMaxPeerDelay);
  if (!awaits_peers && state_.table_.Read() != nullptr &&
      state_.upstreams_.Read() != nullptr &&
      state_.Version() >= state_.peer_version_) {
    ListenForCallers();
  }
}

void Gateway::Impl::OnPartChange(const policy::SuspectParts& suspects) {
  std::string parts;
  for (const uint64_t part : suspects.parts_) {
    parts += (parts.empty() ? "" : ",") + FormatHex(part);
  }
  const char* state = suspects.is_blocked()    ? "blocked"
                      : suspects.crashes_ == 0 ? "answered"
                                               : "suspect";
  log_.Write(LogLine("prompt_parts")
                 .Add("parts", parts)
                 .Add("state", state)
                 .Add("expires_in_ms", suspects.expires_in_.count()));
  metrics_.Add("bergamot_gateway_prompt_part_changes", state);
  BroadcastSuspects();
}

void Gateway::Impl::OnPoolChange(const PoolChange& change) {
  log_.Write(
      LogLine("engines_reserved")
          .Add("group", change.group_.value())
          .Add("engines", int64_t{change.size_})
          .Add("of", int64_t{change.demand_.engines_})
          .Add("short_running", int64_t{change.demand_.running_})
          .Add("short_tokens_per_s",
               static_cast<int64_t>(change.demand_.tokens_per_s_))
          .Add("report_age_ms", change.report_age_.count())
          .Add("engine_tokens_per_s",
               static_cast<int64_t>(change.demand_.engine_tokens_per_ms_ *
                                    kMillisPerSecond)));
  metrics_.Set("bergamot_gateway_reserved_engines", change.group_.value(),
               change.size_);
}

void Gateway::Impl::OnRateChange(const RateChange& change) {
  log_.Write(LogLine("upstream_rate_limit")
                 .Add("upstream", change.upstream_.id_.value())
                 .Add("started_at", change.upstream_.started_at_)
                 .Add("per_second", FormatRate(change.per_second_))
                 .Add("own_per_second", FormatRate(change.share_.per_second_))
                 .Add("holders", int64_t{change.share_.holders_})
                 .Add("members", int64_t{change.members_}));
  metrics_.Add("bergamot_gateway_rate_limit_changes");
}

void Gateway::Impl::OnBufferGivenUp(policy::BufferUse use, size_t size) {
  metrics_.Add("bergamot_gateway_buffers_given_up", policy::BufferUseName(use));
  log_.Write(LogLine("buffer_given_up")
                 .Add("use", policy::BufferUseName(use))
                 .Add("bytes", static_cast<int64_t>(size))
                 .Add("held_bytes", static_cast<int64_t>(buffers_.held()))
                 .Add("limit_bytes", buffers_.limit().count()));
}

void Gateway::Impl::ScheduleMaintenance() {
  maintenance_timer_.expires_after(ToChrono(kMaintenanceInterval));
  maintenance_timer_.async_wait([this](const error_code& error) {
    if (!error) {
      ListenIfServing();
      UpdateShedding();
      upstreams_.UpdateRateShares();
      upstreams_.CloseExpiredConnections();
      ConfirmOrigins(context_);
      if (callers_.sessions() >= descriptors_.callers_) {
        callers_.CloseIdle();
      }
      ReportControlState();
      ScheduleMaintenance();
    }
  });
}

void Gateway::Impl::ReportControlState() {
  metrics_.Set("bergamot_gateway_upstreams_lapsed", "",
               state_.lapsed_upstreams_);
  metrics_.Set("bergamot_gateway_log_restores", "", state_.log_restores_);
  metrics_.Set("bergamot_gateway_config_version", "",
               static_cast<double>(state_.Version()));
  metrics_.Set("bergamot_gateway_config_peer_version", "",
               static_cast<double>(state_.peer_version_));
  metrics_.Set("bergamot_gateway_config_age_ms", "",
               static_cast<double>(state_.TableAge(boot_.Now()).count()));
  metrics_.Set("bergamot_gateway_streams_remembered", "",
               static_cast<double>(context_.origins_.size()));
  metrics_.Set("bergamot_gateway_upstreams_rate_limited", "",
               upstreams_.rate_limited());
  metrics_.Set("bergamot_gateway_upstreams_age_ms", "",
               static_cast<double>(state_.UpstreamsAge(boot_.Now()).count()));
}

void Gateway::Impl::UpdateShedding() {
  if (peers_ == nullptr) {
    return;
  }
  const Millis now = boot_.Now();
  const double busy_share = link_budget_.GetUtilization(now);
  const policy::PeerLinkSpeeds other_links = peers_->LinksInZone(zone_hash_);
  const bool was_shedding = shedding_.is_shedding();
  const bool is_shedding = shedding_.Update(busy_share, other_links, now);
  metrics_.Set("bergamot_gateway_link_busy_share", "", busy_share);
  if (is_shedding != was_shedding) {
    log_.Write(LogLine(is_shedding ? "sheds_callers" : "takes_callers")
                   .Add("link_busy_percent",
                        static_cast<int64_t>(busy_share * kPercent))
                   .Add("link_kbps", link_kbps_)
                   .Add("others_ready_kbps", other_links.ready_kbps_)
                   .Add("others_kbps", other_links.all_kbps_));
    peers_->SendUpdateSoon();
  }
}

}  // namespace bergamotscale::gateway
