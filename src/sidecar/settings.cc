#include "src/sidecar/settings.h"

#include "src/link/link_settings.h"
#include "src/settings/id_field.h"

namespace bergamotscale::sidecar {
namespace {

using settings::FieldReader;
using Need = settings::FieldReader::Need;

const Millis kOneMilli(1);
const Millis kOneHour(3'600'000);

void ReadKind(FieldReader& reader, GroupKind* kind) {
  std::string name = "engine";
  reader.String("kind", Need::kRequired, &name);
  if (name != "engine" && name != "service") {
    reader.AddError("kind", "\"engine\" or \"service\"");
  }
  *kind = name == "service" ? GroupKind::kService : GroupKind::kEngine;
}

void ReadDuration(FieldReader& reader, const char* key, Millis* target) {
  reader.Duration(key, Need::kOptional, kOneMilli, kOneHour, target);
}

void ReadOrders(FieldReader& reader, orders::ExecutorOptions* options) {
  reader.Object("orders", Need::kOptional, [options](FieldReader& orders) {
    ReadDuration(orders, "claim_timeout_ms", &options->claim_timeout_);
    ReadDuration(orders, "outcome_wait_ms", &options->outcome_wait_);
    ReadDuration(orders, "append_interval_ms", &options->batcher_.interval_);
    ReadDuration(orders, "horizon_ms", &options->fold_.order_retention_);
    ReadDuration(orders, "max_clock_difference_ms",
                 &options->fold_.max_clock_difference_);
    ReadDuration(orders, "snapshot_interval_ms", &options->snapshot_interval_);
  });
}

}  // namespace

void ReadSidecarSettings(FieldReader& reader, SidecarSettings* settings) {
  settings::ReadId(reader, "instance", &settings->instance_);
  settings::ReadId(reader, "availability_zone", &settings->zone_);
  settings::ReadId(reader, "group", &settings->group_);
  ReadKind(reader, &settings->kind_);
  reader.String("upstream_url", Need::kRequired, &settings->upstream_url_);
  link::ReadEndpoint(reader, "link", &settings->link_);
  link::ReadEndpoint(reader, "http", &settings->http_);
  reader.String("log_url", Need::kRequired, &settings->log_url_);
  reader.String("instance_list_url", Need::kOptional,
                &settings->instance_list_url_);
  link::ReadLinkOptions(reader, &settings->link_options_);
  reader.Integer("initial_slots", Need::kOptional, 1, 4096,
                 &settings->initial_slots_);
  reader.Integer("max_slots", Need::kOptional, 1, 4096, &settings->max_slots_);
  ReadDuration(reader, "grant_timeout_ms", &settings->grant_timeout_);
  ReadDuration(reader, "status_interval_ms", &settings->status_interval_);
  ReadDuration(reader, "health_interval_ms", &settings->health_interval_);
  ReadDuration(reader, "upstream_timeout_ms", &settings->upstream_timeout_);
  ReadDuration(reader, "stall_timeout_ms", &settings->stall_timeout_);
  ReadDuration(reader, "log_timeout_ms", &settings->log_timeout_);
  ReadDuration(reader, "list_interval_ms", &settings->list_interval_);
  ReadDuration(reader, "drain_timeout_ms", &settings->drain_timeout_);
  ReadOrders(reader, &settings->orders_);
}

}  // namespace bergamotscale::sidecar
