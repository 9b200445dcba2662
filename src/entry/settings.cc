#include "src/entry/settings.h"

#include <utility>

#include "src/link/link_settings.h"
#include "src/placement/placement_fold.h"
#include "src/settings/id_field.h"

namespace bergamotscale::entry {
namespace {

using settings::FieldReader;
using Need = FieldReader::Need;

// Leaves dispatch a choice of sidecars for the reservations of a request.
constexpr int kMinSidecars = 4;
constexpr Millis kMaxTimeout = Millis(600000);
// LoadBudget counts loads for this window plus two order lifetimes, which must
// not exceed placement::kOrderRetention.
constexpr Millis kMaxWeightWindow = Millis(480000);

void ReadSidecars(FieldReader& reader, std::vector<SidecarMember>* sidecars) {
  reader.Objects("sidecars", Need::kOptional, [&](FieldReader& item) {
    SidecarMember member;
    settings::ReadId(item, "id", &member.id_);
    settings::ReadId(item, "group", &member.group_);
    settings::ReadId(item, "availability_zone", &member.zone_);
    link::ReadEndpointMembers(item, &member.endpoint_);
    sidecars->push_back(std::move(member));
  });
}

void ReadBytes(FieldReader& reader, const char* key, Bytes* target) {
  constexpr int64_t kMinimum = 1024;
  constexpr int64_t kMaximum = int64_t{1} << 30;
  int64_t count = target->count();
  reader.Integer(key, Need::kOptional, kMinimum, kMaximum, &count);
  *target = Bytes(count);
}

void ReadLimits(FieldReader& reader, CallerLimits* limits) {
  constexpr int kMaxConnections = 100000;
  reader.Object("limits", Need::kOptional, [&](FieldReader& item) {
    item.Integer("max_connections", Need::kOptional, 1, kMaxConnections,
                 &limits->max_connections_);
    ReadBytes(item, "max_header_bytes", &limits->max_header_);
    ReadBytes(item, "max_body_bytes", &limits->max_body_);
    item.Duration("header_timeout_ms", Need::kOptional, Millis(10), kMaxTimeout,
                  &limits->header_timeout_);
    item.Duration("body_timeout_ms", Need::kOptional, Millis(10), kMaxTimeout,
                  &limits->body_timeout_);
    item.Duration("idle_timeout_ms", Need::kOptional, Millis(10), kMaxTimeout,
                  &limits->idle_timeout_);
  });
}

void ReadPlacement(FieldReader& reader, PlacementSettings* placement) {
  constexpr int kMaxFetches = 100000;
  reader.Object("placement", Need::kOptional, [&](FieldReader& item) {
    item.Duration("lease_ms", Need::kOptional, Millis(500),
                  placement::kMaxLeaseTtl, &placement->lease_);
    item.Duration("plan_interval_ms", Need::kOptional, Millis(50),
                  Millis(60000), &placement->plan_interval_);
    item.Integer("weight_fetches", Need::kOptional, 1, kMaxFetches,
                 &placement->weight_fetches_);
    item.Duration("weight_window_ms", Need::kOptional, Millis(100),
                  kMaxWeightWindow, &placement->weight_window_);
    item.Duration("order_lifetime_ms", Need::kOptional, Millis(100),
                  Millis(60000), &placement->order_lifetime_);
    item.Duration("demand_memory_ms", Need::kOptional, Millis(100), kMaxTimeout,
                  &placement->demand_time_constant_);
    item.Duration("load_timeout_ms", Need::kOptional, Millis(100),
                  placement::kOrderRetention, &placement->load_timeout_);
  });
}

void ReadSubset(FieldReader& reader, SubsetSettings* subset) {
  constexpr int kMaxFullMesh = 100000;
  constexpr int kMinEntries = 2;
  constexpr int kMaxEntries = 64;
  constexpr int kMaxSidecars = 1000;
  reader.Object("subset", Need::kOptional, [&](FieldReader& item) {
    item.Integer("full_mesh_up_to", Need::kOptional, 1, kMaxFullMesh,
                 &subset->full_mesh_up_to_);
    item.Integer("entries_per_sidecar", Need::kOptional, kMinEntries,
                 kMaxEntries, &subset->entries_per_sidecar_);
    item.Integer("sidecars_per_group", Need::kOptional, kMinSidecars,
                 kMaxSidecars, &subset->sidecars_per_group_);
  });
}

}  // namespace

void ReadEntrySettings(FieldReader& reader, EntrySettings* settings) {
  constexpr int kMaxReservations = 8;
  constexpr int kMaxEvents = 1000000;
  settings::ReadId(reader, "instance", &settings->instance_);
  settings::ReadId(reader, "availability_zone", &settings->zone_);
  link::ReadEndpoint(reader, "public", &settings->public_);
  link::ReadEndpoint(reader, "listener", &settings->listener_);
  reader.String("log_url", Need::kRequired, &settings->log_url_);
  reader.String("instance_list_url", Need::kOptional,
                &settings->instance_list_url_);
  ReadSidecars(reader, &settings->sidecars_);
  ReadLimits(reader, &settings->limits_);
  link::ReadLinkOptions(reader, &settings->link_);
  ReadPlacement(reader, &settings->placement_);
  ReadSubset(reader, &settings->subset_);
  reader.Integer("reservations", Need::kOptional, 1, kMaxReservations,
                 &settings->reservations_);
  reader.Integer("timeline_events", Need::kOptional, 1, kMaxEvents,
                 &settings->timeline_events_);
  reader.Duration("leave_grace_ms", Need::kOptional, Millis(0), kMaxTimeout,
                  &settings->leave_grace_);
}

}  // namespace bergamotscale::entry
