// Reports for operators from the timelines of several processes.
#ifndef BERGAMOTSCALE_SRC_TIMELINE_REPORT_H_
#define BERGAMOTSCALE_SRC_TIMELINE_REPORT_H_

#include <string>
#include <vector>

#include "bergamotscale/ids.h"
#include "src/timeline/timeline.h"

namespace bergamotscale::timeline {

// @return the events of all processes, sorted by timestamp and, for equal
// timestamps, by instance. Thread safety: safe.
std::vector<Event> Merge(const std::vector<std::vector<Event>>& timelines);

// @return merged events in the Chrome trace format: a process for each
// instance, a span for each request at an instance, and an instant event for
// each event.
// Thread safety: safe.
std::string ToChromeTrace(const std::vector<Event>& merged);

// Describes in sentences what happened to a request: where it waited, which
// upstream executed it and why it was refused. Times are in milliseconds since
// the request's first event.
// @return one sentence per line, or one line that says that the request is
// unknown.
// Thread safety: safe.
std::string Explain(const std::vector<Event>& merged,
                    const RequestId& request_id);

// Describes in the same form who held the placement lease and what happened to
// the engine orders. Times are in milliseconds since the first such event.
// Thread safety: safe.
std::string ExplainPlacement(const std::vector<Event>& merged);

}  // namespace bergamotscale::timeline

#endif  // BERGAMOTSCALE_SRC_TIMELINE_REPORT_H_
