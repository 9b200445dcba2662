// Events as JSON lines, the form in which processes show their time line.
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

// Reads what Timeline::ToJsonLines() wrote.
// @return kMalformedBody if a line is no event. Thread safety: safe.
Result<std::vector<Event>> ParseEvents(const std::string& lines);

}  // namespace bergamotscale::timeline

#endif  // BERGAMOTSCALE_SRC_TIMELINE_EVENT_JSON_H_
