#include "src/gateway/settings.h"

#include <algorithm>
#include <sstream>
#include <tuple>

#include "src/policy/descriptor_plan.h"
#include "src/web/listener.h"

namespace bergamotscale::gateway {
namespace {

using settings::FieldReader;

constexpr Millis kMaxBound = Millis(600'000);
constexpr int kMaxDescriptors = 1'000'000;
constexpr double kMaxLinkMbps = 1e6;
constexpr double kMaxMemoryMb = 1e6;
// A shorter lease expires while its renewals, three in its time, are written.
constexpr Millis kMinLease = Millis(1'000);
constexpr Millis kMaxLease = Millis(60'000);
constexpr Millis kMinReportWindow = Millis(1'000);
// A window is decided at the latest this long before its report is late.
constexpr Millis kMinUsageLate = Millis(5'000);
constexpr char kUsageReportDuty[] = "usage_report";
constexpr char kAutoscaleDuty[] = "autoscale";

void ReadRetries(FieldReader& reader, policy::RetryBounds* bounds) {
  constexpr auto kOptional = FieldReader::Need::kOptional;
  reader.Number("ratio", kOptional, 0, 10, &bounds->ratio_);
  reader.Number("extra", kOptional, 0, 1e6, &bounds->extra_);
  reader.Duration("window_ms", kOptional, Millis(100), kMaxBound,
                  &bounds->window_);
  reader.Seconds("window_s", kOptional, Millis(100), kMaxBound,
                 &bounds->window_);
}

// @return false if a name is unknown or none is given.
bool ReadDutyNames(const std::string& names, DutySettings* duties) {
  std::istringstream list(names);
  for (std::string name; std::getline(list, name, ',');) {
    name.erase(std::remove(name.begin(), name.end(), ' '), name.end());
    if (name == kUsageReportDuty) {
      duties->reports_usage_ = true;
    } else if (name == kAutoscaleDuty) {
      duties->orders_scale_ = true;
    } else {
      return false;
    }
  }
  return !names.empty();
}

void ReadDuties(FieldReader& reader, DutySettings* duties) {
  constexpr auto kRequired = FieldReader::Need::kRequired;
  constexpr auto kOptional = FieldReader::Need::kOptional;
  std::string names;
  reader.String("address", kRequired, &duties->address_);
  if (!duties->address_.empty() && !web::ParseEndpoint(duties->address_).ok()) {
    reader.AddError("address", "IP:PORT");
  }
  reader.String("names", kRequired, &names);
  if (!ReadDutyNames(names, duties)) {
    reader.AddError("names",
                    "a comma-separated list of usage_report, autoscale");
  }
  reader.Duration("lease_ms", kOptional, kMinLease, kMaxLease, &duties->lease_);
  reader.Seconds("report_window_s", kOptional, kMinReportWindow, kMaxBound,
                 &duties->report_window_);
  reader.Seconds("usage_late_s", kOptional, kMinUsageLate, kMaxBound,
                 &duties->usage_late_);
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
  reader.Boolean("balance_stale_load", kOptional,
                 &settings->balances_stale_load_);
  reader.Object("retries", kOptional, [settings](FieldReader& nested) {
    ReadRetries(nested, &settings->retries_);
  });
  reader.Object("duties", kOptional, [settings](FieldReader& nested) {
    ReadDuties(nested, &settings->duties_.emplace());
  });
}

bool HaveSameReloadableSettings(const GatewaySettings& a,
                                const GatewaySettings& b) {
  return ReloadableFields(a) == ReloadableFields(b);
}

}  // namespace bergamotscale::gateway
