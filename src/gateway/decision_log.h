// Structured log of a gateway's decisions that never blocks the process.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_DECISION_LOG_H_
#define BERGAMOTSCALE_SRC_GATEWAY_DECISION_LOG_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

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

// Buffers lines and writes them without blocking. If the reader is slow, lines
// beyond the buffer's limit are dropped, and the number of dropped lines is
// logged once the buffer is empty. glog is not used because it writes each line
// synchronously and blocks while the reader doesn't read. Thread safety: safe.
class DecisionLog {
 public:
  // @param fd file descriptor for the lines; it is set to non-blocking.
  DecisionLog(int fd, Clock wall);
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  void Write(const LogLine& line);
  // Writes buffered lines until the write would block. Call it a few times a
  // second and before exit.
  void Flush();

  // @return the number of lines dropped since the start.
  int64_t dropped() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_DECISION_LOG_H_
