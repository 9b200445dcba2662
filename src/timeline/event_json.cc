#include "src/timeline/event_json.h"

#include <optional>
#include <sstream>

namespace bergamotscale::timeline {
namespace {

struct EventRow {
  EventType type_;
  const char* name_;
};

constexpr EventRow kEventTable[] = {
    {EventType::kArrived, "arrived"},
    {EventType::kReserved, "reserved"},
    {EventType::kQueued, "queued"},
    {EventType::kOffered, "offered"},
    {EventType::kGranted, "granted"},
    {EventType::kBound, "bound"},
    {EventType::kWithdrawn, "withdrawn"},
    {EventType::kFirstToken, "first_token"},
    {EventType::kFinished, "finished"},
    {EventType::kRefused, "refused"},
    {EventType::kRetried, "retried"},
    {EventType::kResumed, "resumed"},
    {EventType::kCallerLeft, "caller_left"},
    {EventType::kCancelled, "cancelled"},
    {EventType::kStarted, "started"},
    {EventType::kClaimAppended, "claim_appended"},
    {EventType::kClaimWon, "claim_won"},
    {EventType::kClaimLost, "claim_lost"},
    {EventType::kOutcome, "outcome"},
    {EventType::kPeerUp, "peer_up"},
    {EventType::kPeerLost, "peer_lost"},
    {EventType::kConfigInForce, "config_in_force"},
    {EventType::kLeaving, "leaving"},
    {EventType::kUpstreamCrashed, "upstream_crashed"},
    {EventType::kQuarantined, "quarantined"},
    {EventType::kDropped, "dropped"},
    {EventType::kLeaseWon, "lease_won"},
    {EventType::kLeaseLost, "lease_lost"},
    {EventType::kOrderGiven, "order_given"},
    {EventType::kOrderApplied, "order_applied"},
    {EventType::kOrderRefused, "order_refused"},
};

std::optional<EventType> TypeOfName(const std::string& name) {
  for (const EventRow& row : kEventTable) {
    if (name == row.name_) {
      return row.type_;
    }
  }
  return std::nullopt;
}

std::optional<Event> ParseEvent(const std::string& line) {
  const nlohmann::json json = nlohmann::json::parse(line, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    const std::optional<EventType> type = TypeOfName(json.at("event"));
    if (!type) {
      return std::nullopt;
    }
    Event event;
    event.type_ = *type;
    event.time_.wall_ms_ = json.at("wall_ms");
    event.time_.counter_ = json.at("counter");
    event.instance_ = InstanceId(json.at("instance"));
    event.request_id_ = RequestId(json.value("request", std::string()));
    event.peer_ = InstanceId(json.value("peer", std::string()));
    event.detail_ = json.value("detail", std::string());
    return event;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

const char* EventName(EventType type) {
  for (const EventRow& row : kEventTable) {
    if (row.type_ == type) {
      return row.name_;
    }
  }
  return "unknown";
}

nlohmann::json EventToJson(const Event& event) {
  nlohmann::json json = {{"wall_ms", event.time_.wall_ms_},
                         {"counter", event.time_.counter_},
                         {"event", EventName(event.type_)},
                         {"instance", event.instance_.value()}};
  if (!event.request_id_.empty()) {
    json["request"] = event.request_id_.value();
  }
  if (!event.peer_.empty()) {
    json["peer"] = event.peer_.value();
  }
  if (!event.detail_.empty()) {
    json["detail"] = event.detail_;
  }
  return json;
}

Result<std::vector<Event>> ParseEvents(const std::string& lines) {
  std::vector<Event> events;
  std::istringstream stream(lines);
  std::string line;
  while (std::getline(stream, line)) {
    if (line.empty()) {
      continue;
    }
    const std::optional<Event> event = ParseEvent(line);
    if (!event) {
      return Error(ErrorCode::kMalformedBody, "no event: " + line);
    }
    events.push_back(*event);
  }
  return events;
}

}  // namespace bergamotscale::timeline
