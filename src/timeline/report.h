// What operators read of the time lines of many processes.
#ifndef BERGAMOTSCALE_SRC_TIMELINE_REPORT_H_
#define BERGAMOTSCALE_SRC_TIMELINE_REPORT_H_

#include <string>
#include <vector>

#include "bergamotscale/ids.h"
#include "src/timeline/timeline.h"

namespace bergamotscale::timeline {

// @return the events of all processes in the order of their timestamps; equal
// timestamps are ordered by instance. Thread safety: safe.
std::vector<Event> Merge(const std::vector<std::vector<Event>>& timelines);

// @return merged events in the Chrome trace format: a process for each
// instance, a span for each request at an instance, an instant for each event.
// Thread safety: safe.
std::string ToChromeTrace(const std::vector<Event>& merged);

// Tells in words what became of a request: where it waited, why that upstream,
// why it was refused. Times are milliseconds since its arrival.
// @return one sentence a line; one line that says so if nothing is known.
// Thread safety: safe.
std::string Explain(const std::vector<Event>& merged,
                    const RequestId& request_id);

// Tells in words who held the lease on placement and what became of orders to
// engines, as Explain() does.
std::string ExplainPlacement(const std::vector<Event>& merged);

}  // namespace bergamotscale::timeline

#endif  // BERGAMOTSCALE_SRC_TIMELINE_REPORT_H_
