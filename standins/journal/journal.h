// A stand-in's journal of executions, for the history checker.
#ifndef BERGAMOTSCALE_STANDINS_JOURNAL_JOURNAL_H_
#define BERGAMOTSCALE_STANDINS_JOURNAL_JOURNAL_H_

#include <cstdint>
#include <memory>
#include <string>

#include "bergamotscale/clock.h"
#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"

namespace bergamotscale::standins {

enum class Outcome { kRunning, kFinished, kCancelled, kCrashed };

// @return "running", "finished", "cancelled" or "crashed".
const char* OutcomeName(Outcome outcome);

// One execution.
struct JournalRecord {
  RequestId id_;
  IdempotencyKey key_;
  uint64_t digest_ = 0;  // of the body or the prompt
  // Tokens that the caller already had when a resumed execution started.
  Tokens resumed_at_;
  Millis start_;  // wall clock
  Millis end_;    // zero while running
  Tokens tokens_;
  Outcome outcome_ = Outcome::kRunning;
};

using RecordNumber = NumberId<struct RecordNumberTag>;

// Keeps all records in memory. With a file, it also appends a line at the start
// and at the end of each execution, so that records survive if the stand-in is
// killed. Thread safety: safe.
class Journal {
 public:
  // @param file appended to; empty for none.
  Journal(std::string file, Clock wall_clock);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // Records the start and sets start_. Call before executing.
  RecordNumber Start(JournalRecord record);

  // Records the end. A second end of the same record is ignored.
  void End(RecordNumber number, Outcome outcome, Tokens tokens);

  // @return one JSON line for each execution, in the order of their starts.
  std::string Lines() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::standins

#endif  // BERGAMOTSCALE_STANDINS_JOURNAL_JOURNAL_H_
