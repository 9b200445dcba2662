// Structured log of a gateway's decisions that never blocks the process.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_DECISION_LOG_H_
#define BERGAMOTSCALE_SRC_GATEWAY_DECISION_LOG_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include "bergamotscale/clock.h"

namespace bergamotscale::gateway {

// One log line: "t=... event=... name=value ...".
class LogLine {
 public:
  explicit LogLine(std::string_view event);

  LogLine& Add(std::string_view name, std::string_view value);
  LogLine& Add(std::string_view name, int64_t value);

  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

// Buffers lines, which a thread of its own writes, because a write to a file
// may wait for the disk. If the output is slow, lines beyond the buffer's limit
// are dropped, and the number of dropped lines is logged once the buffer is
// empty. glog is not used because it writes each line synchronously and blocks
// while the reader doesn't read. Thread safety: safe.
class DecisionLog {
 public:
  // @param fd file descriptor for the lines; it is set to non-blocking, and
  // duplicated unless it is a standard stream.
  DecisionLog(int fd, Clock wall);
  // Flushes first. If the output still blocks then, the remaining lines are
  // lost.
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  // Never waits for the output.
  void Write(const LogLine& line);
  // Waits a bounded time until the buffered lines are written or the output
  // would block. Not needed for the lines to be written.
  // @return false if a write hasn't returned in that time.
  bool Flush();

  // @return the number of lines dropped since the start.
  int64_t dropped() const;

 private:
  class Writer;
  // Shared with the thread, which may outlive the log in a blocked write.
  std::shared_ptr<Writer> writer_;
  std::thread thread_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_DECISION_LOG_H_
