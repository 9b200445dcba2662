// Structured log lines about decisions, which never block the process.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_DECISION_LOG_H_
#define BERGAMOTSCALE_SRC_GATEWAY_DECISION_LOG_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "bergamotscale/clock.h"

namespace bergamotscale::gateway {

// One line: "t=... event=... name=value ...".
class LogLine {
 public:
  explicit LogLine(std::string_view event);

  LogLine& Add(std::string_view name, std::string_view value);
  LogLine& Add(std::string_view name, int64_t value);

  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

// Gathers lines and writes them to standard output without blocking. When the
// reader is slow, lines beyond the bound are dropped and counted; the count is
// written as soon as there is room. glog is not used here, as it writes each
// line at once and blocks while the reader does not read.
// Thread safety: safe.
class DecisionLog {
 public:
  // @param fd where lines go; set to non-blocking.
  DecisionLog(int fd, Clock wall);
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  void Write(const LogLine& line);
  // Writes what was gathered as far as the reader takes it. Call a few times
  // a second and before the end.
  void Flush();

  // @return lines dropped since the start.
  int64_t dropped() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_DECISION_LOG_H_
