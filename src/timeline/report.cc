#include "src/timeline/report.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

#include "src/timeline/event_json.h"

namespace bergamotscale::timeline {
namespace {

constexpr int64_t kMicrosPerMilli = 1000;

bool IsBefore(const Event& a, const Event& b) {
  if (a.time_ < b.time_ || b.time_ < a.time_) {
    return a.time_ < b.time_;
  }
  return a.instance_ < b.instance_;
}

// The trace format has no counter. It is added as microseconds, so that events
// of the same millisecond stay in sequence.
int64_t TraceMicros(const Timestamp& time) {
  return time.wall_ms_ * kMicrosPerMilli +
         std::min(time.counter_, kMicrosPerMilli - 1);
}

// Identifies the span of a request at one instance.
struct SpanKey {
  InstanceId instance_;
  RequestId request_id_;
  friend bool operator<(const SpanKey& a, const SpanKey& b) {
    return a.instance_ != b.instance_ ? a.instance_ < b.instance_
                                      : a.request_id_ < b.request_id_;
  }
};

struct Span {
  Timestamp first_;
  Timestamp last_;
};

using Spans = std::map<SpanKey, Span>;
using ProcessNumbers = std::map<InstanceId, int>;

Spans CollectSpans(const std::vector<Event>& merged) {
  Spans spans;
  for (const Event& event : merged) {
    if (event.request_id_.empty()) {
      continue;
    }
    const SpanKey key{event.instance_, event.request_id_};
    const auto inserted = spans.emplace(key, Span{event.time_, event.time_});
    inserted.first->second.last_ = event.time_;
  }
  return spans;
}

ProcessNumbers NumberProcesses(const std::vector<Event>& merged) {
  ProcessNumbers numbers;
  for (const Event& event : merged) {
    numbers.emplace(event.instance_, 0);
  }
  int next = 1;
  for (auto& [instance, number] : numbers) {
    number = next++;
  }
  return numbers;
}

nlohmann::json ProcessRows(const ProcessNumbers& processes) {
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [instance, number] : processes) {
    rows.push_back({{"ph", "M"},
                    {"name", "process_name"},
                    {"pid", number},
                    {"args", {{"name", instance.value()}}}});
  }
  return rows;
}

nlohmann::json SpanRow(const SpanKey& key, const Span& span, int process) {
  const int64_t start = TraceMicros(span.first_);
  return {
      {"ph", "X"},      {"name", key.request_id_.value()},
      {"pid", process}, {"tid", std::hash<RequestId>()(key.request_id_) % 1000},
      {"ts", start},    {"dur", TraceMicros(span.last_) - start}};
}

nlohmann::json InstantRow(const Event& event, int process) {
  return {{"ph", "i"},
          {"s", "p"},
          {"name", EventName(event.type_)},
          {"pid", process},
          {"tid", std::hash<RequestId>()(event.request_id_) % 1000},
          {"ts", TraceMicros(event.time_)},
          {"args", EventToJson(event)}};
}

// @return the sentence of an event, without its time and instance.
std::string DescribeEvent(const Event& event) {
  const std::string& peer = event.peer_.value();
  const std::string& detail = event.detail_;
  switch (event.type_) {
    case EventType::kArrived:
      return "the request arrived (" + detail + ")";
    case EventType::kReserved:
      return "a reservation was placed at " + peer + " (" + detail + ")";
    case EventType::kQueued:
      return "a reservation of " + peer + " joined the queue";
    case EventType::kOffered:
      return "a slot was free and was offered to " + peer;
    case EventType::kGranted:
      return peer + " granted a slot";
    case EventType::kBound:
      return "the work was sent to " + peer + ", the first to grant";
    case EventType::kWithdrawn:
      return "the reservation was withdrawn (" + peer + ")";
    case EventType::kFirstToken:
      return "the first token reached the caller";
    case EventType::kFinished:
      return "the answer was whole" +
             (detail.empty() ? std::string() : " (" + detail + ")");
    case EventType::kRefused:
      return "it was refused: " + detail;
    case EventType::kRetried:
      return "the attempt failed (" + detail + ") and another followed";
    case EventType::kResumed:
      return "the answer was resumed elsewhere (" + detail + ")";
    case EventType::kCallerLeft:
      return "the caller left";
    case EventType::kCancelled:
      return "the work was cancelled";
    case EventType::kStarted:
      return "the upstream began to execute it";
    case EventType::kClaimAppended:
      return "the order's claim was appended to the log";
    case EventType::kClaimWon:
      return "the claim owns the only attempt (" + detail + ")";
    case EventType::kClaimLost:
      return "another claim came first (" + detail + ")";
    case EventType::kOutcome:
      return "the order's outcome was recorded";
    case EventType::kUpstreamCrashed:
      return "the upstream crashed (" + detail + ")";
    case EventType::kQuarantined:
      return "it was quarantined: " + detail;
    case EventType::kDropped:
      return "a late or foreign chunk was dropped";
    case EventType::kLeaseWon:
      return "the lease on placement was granted (" + detail + ")";
    case EventType::kLeaseLost:
      return "the lease on placement is held no longer (" + detail + ")";
    case EventType::kOrderGiven:
      return "an order was given to " + peer + " (" + detail + ")";
    case EventType::kOrderApplied:
      return "the engine took an order (" + detail + ")";
    case EventType::kOrderRefused:
      return "an order was not carried out (" + detail + ")";
    default:
      return std::string(EventName(event.type_)) + " " + detail;
  }
}

bool IsPlacementEvent(const Event& event) {
  switch (event.type_) {
    case EventType::kLeaseWon:
    case EventType::kLeaseLost:
    case EventType::kOrderGiven:
    case EventType::kOrderApplied:
    case EventType::kOrderRefused:
      return true;
    default:
      return false;
  }
}

}  // namespace

std::vector<Event> Merge(const std::vector<std::vector<Event>>& timelines) {
  std::vector<Event> merged;
  for (const std::vector<Event>& events : timelines) {
    merged.insert(merged.end(), events.begin(), events.end());
  }
  std::stable_sort(merged.begin(), merged.end(), IsBefore);
  return merged;
}

std::string ToChromeTrace(const std::vector<Event>& merged) {
  const ProcessNumbers processes = NumberProcesses(merged);
  nlohmann::json rows = ProcessRows(processes);
  for (const auto& [key, span] : CollectSpans(merged)) {
    rows.push_back(SpanRow(key, span, processes.at(key.instance_)));
  }
  for (const Event& event : merged) {
    rows.push_back(InstantRow(event, processes.at(event.instance_)));
  }
  const nlohmann::json trace = {{"traceEvents", rows}};
  return trace.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string Explain(const std::vector<Event>& merged,
                    const RequestId& request_id) {
  std::ostringstream text;
  const Event* first = nullptr;
  for (const Event& event : merged) {
    if (event.request_id_ != request_id) {
      continue;
    }
    if (first == nullptr) {
      first = &event;
    }
    text << "+" << event.time_.wall_ms_ - first->time_.wall_ms_ << " ms "
         << event.instance_.value() << ": " << DescribeEvent(event) << "\n";
  }
  if (first == nullptr) {
    text << "nothing is known of request " << request_id.value() << "\n";
  }
  return text.str();
}

std::string ExplainPlacement(const std::vector<Event>& merged) {
  std::ostringstream text;
  int64_t first = -1;
  for (const Event& event : merged) {
    if (!IsPlacementEvent(event)) {
      continue;
    }
    first = first < 0 ? event.time_.wall_ms_ : first;
    text << "+" << event.time_.wall_ms_ - first << " ms "
         << event.instance_.value() << ": " << DescribeEvent(event) << "\n";
  }
  return first < 0 ? "nothing is known of placement\n" : text.str();
}

}  // namespace bergamotscale::timeline
