#include "tests/process/session_record.h"

#include <cstdlib>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>

#include <doctest/doctest.h>

#include "src/http/client.h"
#include "src/timeline/event_json.h"
#include "src/timeline/report.h"

namespace bergamotscale::testing {
namespace {

using timeline::Event;
using timeline::EventType;

// @return the index of the first such event, or -1.
int IndexOf(const std::vector<Event>& merged,
            const RequestId& id,
            EventType type,
            const std::string& instance,
            const std::string& peer) {
  for (size_t i = 0; i < merged.size(); ++i) {
    const Event& event = merged[i];
    if (event.request_id_ == id && event.type_ == type &&
        event.instance_.value() == instance &&
        (peer.empty() || event.peer_.value() == peer)) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

// Entries request the placement lease at a random time, so a session may or may
// not contain these events.
bool IsLeaseEvent(const Event& event) {
  return event.type_ == EventType::kLeaseWon ||
         event.type_ == EventType::kLeaseLost;
}

}  // namespace

std::vector<Event> ReadTimeline(const Cluster& cluster,
                                const std::string& name) {
  http::Call call;
  call.url_ = cluster.Url(name) + "/timeline";
  const Result<http::Reply> reply = http::CallAndWait(call);
  if (!reply.ok()) {
    return {};
  }
  const Result<std::vector<Event>> events =
      timeline::ParseEvents(reply.value().body_);
  REQUIRE(events.ok());
  return events.value();
}

int CountEvents(const Cluster& cluster,
                const std::string& name,
                EventType type) {
  int count = 0;
  for (const Event& event : ReadTimeline(cluster, name)) {
    count += event.type_ == type ? 1 : 0;
  }
  return count;
}

void SessionRecord::Collect(const std::string& name) {
  timelines_.push_back(ReadTimeline(cluster_, name));
  REQUIRE_MESSAGE(!timelines_.back().empty(), name);
}

std::string SessionRecord::Normalise(const std::string& text) {
  struct Rule {
    const char* pattern_;
    const char* replacement_;
  };
  static constexpr Rule kRules[] = {
      {"^\\+-?[0-9]+ ms ", "+T ms "},
      {"expected wait [0-9]+ ms, [0-9]+ running",
       "expected wait T ms, N running"},
      {"the only attempt \\([^)]*\\)", "the only attempt (CLAIM)"},
      {"127\\.0\\.0\\.1:[0-9]+", "ADDRESS"},
  };
  std::string normalised = text;
  for (const Rule& rule : kRules) {
    normalised = std::regex_replace(normalised, std::regex(rule.pattern_),
                                    rule.replacement_);
  }
  return normalised;
}

std::vector<Event> SessionRecord::Merged() const {
  return timeline::Merge(timelines_);
}

std::vector<RequestId> SessionRecord::Requests() const {
  std::vector<RequestId> requests;
  for (const Event& event : Merged()) {
    if (event.type_ == EventType::kArrived) {
      requests.push_back(event.request_id_);
    }
  }
  return requests;
}

std::string SessionRecord::RequestText(const std::vector<Event>& merged,
                                       const RequestId& id) const {
  // The order of events of different processes varies between runs. The order
  // within one process doesn't, so lines are grouped by process.
  std::map<std::string, std::string> by_instance;
  std::istringstream explanation(timeline::Explain(merged, id));
  for (std::string line; std::getline(explanation, line);) {
    const std::string normalised = Normalise(line);
    const size_t start = normalised.find("ms ") + 3;
    const size_t end = normalised.find(": ");
    by_instance[normalised.substr(start, end - start)] +=
        "  " + normalised + "\n";
  }
  std::string text;
  for (const auto& [instance, lines] : by_instance) {
    text += lines;
  }
  return text;
}

std::string SessionRecord::ProcessText(const std::vector<Event>& events) const {
  std::string own;
  std::map<std::string, std::string> by_peer;
  for (const Event& event : events) {
    if (!event.request_id_.empty() || IsLeaseEvent(event)) {
      continue;
    }
    std::string line = std::string(" ") + timeline::EventName(event.type_);
    line += event.detail_.empty() ? "" : " " + event.detail_;
    if (event.peer_.empty()) {
      own += line;
    } else {
      by_peer[event.peer_.value()] += line;
    }
  }
  const std::string& instance = events.front().instance_.value();
  std::ostringstream text;
  text << "  " << instance << ":" << own << "\n";
  for (const auto& [peer, line] : by_peer) {
    text << "  " << instance << " of " << peer << ":" << line << "\n";
  }
  return text.str();
}

std::string SessionRecord::Text() const {
  std::string text = "callers\n" + lines_;
  const std::vector<Event> merged = Merged();
  int number = 0;
  for (const RequestId& id : Requests()) {
    text += "request " + std::to_string(++number) + "\n";
    text += RequestText(merged, id);
  }
  text += "processes\n";
  for (const std::vector<Event>& events : timelines_) {
    text += ProcessText(events);
  }
  return text;
}

void SessionRecord::CheckCauses() const {
  const std::vector<Event> merged = Merged();
  for (const Event& event : merged) {
    if (event.type_ != EventType::kReserved &&
        event.type_ != EventType::kBound) {
      continue;
    }
    const RequestId& id = event.request_id_;
    const std::string& entry = event.instance_.value();
    const std::string& sidecar = event.peer_.value();
    const std::vector<int> chain = {
        IndexOf(merged, id, EventType::kArrived, entry, ""),
        IndexOf(merged, id, EventType::kReserved, entry, sidecar),
        IndexOf(merged, id, EventType::kQueued, sidecar, entry),
        IndexOf(merged, id, EventType::kOffered, sidecar, entry),
        IndexOf(merged, id, EventType::kGranted, entry, sidecar),
        IndexOf(merged, id, EventType::kBound, entry, sidecar),
        IndexOf(merged, id, EventType::kStarted, sidecar, entry),
        IndexOf(merged, id, EventType::kFinished, sidecar, entry)};
    int last = -1;
    for (const int index : chain) {
      if (index >= 0) {
        CHECK_MESSAGE(index > last, id.value() << " at " << sidecar);
        last = index;
      }
    }
  }
}

void CheckGolden(const std::string& name, const std::string& text) {
  const std::string file =
      std::string(BERGAMOTSCALE_GOLDEN_DIR) + "/" + name + ".txt";
  if (std::getenv("BERGAMOTSCALE_WRITE_GOLDEN") != nullptr) {
    std::ofstream(file) << text;
    return;
  }
  std::ifstream stream(file);
  std::stringstream golden;
  golden << stream.rdbuf();
  CHECK_MESSAGE(golden.str() == text, file);
}

}  // namespace bergamotscale::testing
