// Converts events to and from JSON lines, the format in which processes serve
// their timelines.
#ifndef BERGAMOTSCALE_SRC_TIMELINE_EVENT_JSON_H_
#define BERGAMOTSCALE_SRC_TIMELINE_EVENT_JSON_H_

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "bergamotscale/result.h"
#include "src/timeline/timeline.h"

namespace bergamotscale::timeline {

// @return the event as one JSON object. Thread safety: safe.
nlohmann::json EventToJson(const Event& event);

// Parses the output of Timeline::ToJsonLines().
// @return kMalformedBody if a line is not an event. Thread safety: safe.
Result<std::vector<Event>> ParseEvents(const std::string& lines);

}  // namespace bergamotscale::timeline

#endif  // BERGAMOTSCALE_SRC_TIMELINE_EVENT_JSON_H_
