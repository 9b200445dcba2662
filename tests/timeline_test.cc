// Tests the timeline: its bound, its order across processes and its report of a
// request.
#include <string>

#include <doctest/doctest.h>

#include "src/timeline/event_json.h"
#include "src/timeline/report.h"
#include "src/timeline/timeline.h"

namespace bergamotscale::timeline {
namespace {

TEST_CASE("timeline: the ring is bounded, and its JSON can be parsed again") {
  Timeline timeline(InstanceId("entry-1"), Clock([] { return Millis(5); }), 2);
  timeline.Add(EventType::kArrived, RequestId("a"));
  timeline.Add(EventType::kReserved, RequestId("a"), InstanceId("s-1"));
  timeline.Add(EventType::kFinished, RequestId("a"), InstanceId(), "stop");
  const Result<std::vector<Event>> events = ParseEvents(timeline.ToJsonLines());
  REQUIRE(events.ok());
  REQUIRE(events.value().size() == 2);
  CHECK(events.value()[0].type_ == EventType::kReserved);
  CHECK(events.value()[0].peer_ == InstanceId("s-1"));
  CHECK(events.value()[1].detail_ == "stop");
  CHECK(events.value()[0].time_ < events.value()[1].time_);
}

TEST_CASE("timeline: a process whose wall clock lags orders after its peer") {
  Timeline ahead(InstanceId("a"), Clock([] { return Millis(100); }), 8);
  Timeline behind(InstanceId("b"), Clock([] { return Millis(10); }), 8);
  ahead.Add(EventType::kBound, RequestId("r"), InstanceId("b"));
  behind.Observe(ahead.Now());
  behind.Add(EventType::kStarted, RequestId("r"));
  const std::vector<Event> merged = Merge({behind.Events(), ahead.Events()});
  REQUIRE(merged.size() == 2);
  CHECK(merged[0].type_ == EventType::kBound);
  CHECK(merged[1].type_ == EventType::kStarted);
  CHECK(Explain(merged, RequestId("r")) ==
        "+0 ms a: the work was sent to b, the first to grant\n"
        "+0 ms b: the upstream began to execute it\n");
}

TEST_CASE("timeline: an unknown request is reported to be unknown") {
  CHECK(Explain({}, RequestId("x")) == "nothing is known of request x\n");
}

TEST_CASE("timeline: a line that is no event is an error") {
  CHECK(!ParseEvents("{\"event\":\"arrived\"}\n").ok());
  CHECK(!ParseEvents("nonsense\n").ok());
}

}  // namespace
}  // namespace bergamotscale::timeline
