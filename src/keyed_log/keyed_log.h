// A log that keeps the newest record of each key, as a port.
#ifndef BERGAMOTSCALE_SRC_KEYED_LOG_KEYED_LOG_H_
#define BERGAMOTSCALE_SRC_KEYED_LOG_KEYED_LOG_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "bergamotscale/ids.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"

namespace bergamotscale::keyed_log {

struct Record {
  std::string key_;
  std::optional<std::string> value_;  // none: the key was removed
  LogOffset offset_;
};

// A page of the newest records in the order of their keys.
struct NewestPage {
  std::vector<Record> records_;
  bool has_more_ = false;
  LogOffset end_;  // of the log when the page was read
};

// Records in the order of the log.
struct Tail {
  std::vector<Record> records_;
  LogOffset next_;
};

// Reads of one log. A source answers each call once, later, on the same
// thread; an outage or an answer that doesn't come in time is an error.
// The log is linearizable: an answer holds all that was accepted before the
// call was made.
struct Source {
  // @param after the key behind which the page begins; empty for the first.
  std::function<void(const std::string& after,
                     std::function<void(Result<NewestPage>)>)>
      read_newest_;
  // @param wait how long the log waits for a record if there is none yet.
  // Answers kRecordsExpired if the records from `from` are no longer kept.
  std::function<
      void(LogOffset from, Millis wait, std::function<void(Result<Tail>)>)>
      read_tail_;
};

}  // namespace bergamotscale::keyed_log

#endif  // BERGAMOTSCALE_SRC_KEYED_LOG_KEYED_LOG_H_
