// Interface of a log that keeps the newest record of each key.
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
  std::optional<std::string> value_;  // empty: the key was removed
  LogOffset offset_;
};

// A page of the newest records, ordered by key.
struct NewestPage {
  std::vector<Record> records_;
  bool has_more_ = false;
  LogOffset end_;  // end of the log when the page was read
  LogEra era_ = {};
};

// Records ordered by offset. A read is limited in size, so the log may have
// more of them than it returned.
struct Tail {
  std::vector<Record> records_;
  LogOffset next_;  // where the next read continues
  // End of the log when it was read.
  LogOffset end_ = {};
  LogEra era_ = {};
};

// Reads one log. Each call is answered exactly once, asynchronously, on the
// same thread; an outage or a timeout is an error. The log is linearizable: a
// result includes every record accepted before the call in the same era. A log
// that is restored from a copy has lost its newest records and gives out their
// offsets again.
struct Source {
  // @param after the page starts after this key; empty for the first page.
  std::function<void(const std::string& after,
                     std::function<void(Result<NewestPage>)>)>
      read_newest_;
  // @param wait how long the log waits for a record if there is none yet.
  // Error: kRecordsExpired if the records from `from` on are no longer kept.
  std::function<
      void(LogOffset from, Millis wait, std::function<void(Result<Tail>)>)>
      read_tail_;
};

}  // namespace bergamotscale::keyed_log

#endif  // BERGAMOTSCALE_SRC_KEYED_LOG_KEYED_LOG_H_
