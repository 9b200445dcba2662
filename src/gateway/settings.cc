#include "src/gateway/settings.h"

#include <tuple>

#include "src/policy/descriptor_plan.h"

namespace bergamotscale::gateway {
namespace {

using settings::FieldReader;

constexpr Millis kMaxBound = Millis(600'000);
constexpr int kMaxDescriptors = 1'000'000;
constexpr double kMaxLinkMbps = 1e6;
constexpr double kMaxMemoryMb = 1e6;

void ReadRetries(FieldReader& reader, policy::RetryBounds* bounds) {
  constexpr auto kOptional = FieldReader::Need::kOptional;
  reader.Number("ratio", kOptional, 0, 10, &bounds->ratio_);
  reader.Number("extra", kOptional, 0, 1e6, &bounds->extra_);
  reader.Duration("window_ms", kOptional, Millis(100), kMaxBound,
                  &bounds->window_);
  reader.Seconds("window_s", kOptional, Millis(100), kMaxBound,
                 &bounds->window_);
}

auto ReloadableFields(const GatewaySettings& settings) {
  const policy::RetryBounds& retries = settings.retries_;
  return std::tie(settings.seed_peers_, settings.max_revocation_delay_,
                  settings.max_config_delay_, settings.stop_grace_,
                  retries.ratio_, retries.extra_, retries.window_);
}

}  // namespace

void ReadGatewaySettings(FieldReader& reader, GatewaySettings* settings) {
  constexpr auto kRequired = FieldReader::Need::kRequired;
  constexpr auto kOptional = FieldReader::Need::kOptional;
  std::string zone;
  reader.String("instance", kRequired, &settings->instance_);
  reader.String("zone", kRequired, &zone);
  settings->zone_ = ZoneId(zone);
  reader.String("listen_callers", kRequired, &settings->listen_callers_);
  reader.String("listen_ready", kRequired, &settings->listen_ready_);
  reader.String("listen_operators", kOptional, &settings->listen_operators_);
  reader.String("listen_peers", kOptional, &settings->listen_peers_);
  reader.Strings("first_peers", kOptional, &settings->seed_peers_);
  reader.String("log_address", kRequired, &settings->log_address_);
  reader.Duration("revoke_ms", kOptional, Millis(100), kMaxBound,
                  &settings->max_revocation_delay_);
  reader.Duration("config_apply_ms", kOptional, Millis(100), kMaxBound,
                  &settings->max_config_delay_);
  reader.Duration("drain_ms", kOptional, Millis(100), kMaxBound,
                  &settings->max_drain_delay_);
  reader.Duration("stop_grace_ms", kOptional, Millis(100), kMaxBound,
                  &settings->stop_grace_);
  reader.Seconds("stop_grace_s", kOptional, Millis(100), kMaxBound,
                 &settings->stop_grace_);
  reader.Integer("max_descriptors", kOptional, policy::kMinDescriptors,
                 kMaxDescriptors, &settings->max_descriptors_);
  reader.Number("memory_mb", kOptional, 0, kMaxMemoryMb, &settings->memory_mb_);
  if (settings->memory_mb_ == 0) {
    settings->memory_mb_ = kDefaultMemoryMb;
  }
  reader.Number("link_mbps", kOptional, 0, kMaxLinkMbps, &settings->link_mbps_);
  reader.Object("retries", kOptional, [settings](FieldReader& nested) {
    ReadRetries(nested, &settings->retries_);
  });
}

bool HaveSameReloadableSettings(const GatewaySettings& a,
                                const GatewaySettings& b) {
  return ReloadableFields(a) == ReloadableFields(b);
}

}  // namespace bergamotscale::gateway
