// The log stand-in as an HTTP server, with faults on order.
//
// POST /streams/NAME/append          {"offset"}
// GET  /streams/NAME/records         ?from=N&wait_ms=W&max=M; from=-1: oldest
// GET  /faults, POST /faults         any of the fields of LogFaults
// GET  /journal                      one JSON line for each append
//
// 429: over the append limit; 410: records expired; 503: down, nothing was
// appended; 504: the answer is lost, the append took effect.
#ifndef BERGAMOTSCALE_STANDINS_PLATFORM_LOG_SERVER_H_
#define BERGAMOTSCALE_STANDINS_PLATFORM_LOG_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "bergamotscale/clock.h"
#include "bergamotscale/result.h"
#include "bergamotscale/units.h"
#include "standins/platform/log_store.h"

namespace bergamotscale::standins {

// Faults in force. In JSON: "down", "silent", "slow_ms", "lose_answers".
struct LogFaults {
  // Every call is refused with 503.
  bool down_ = false;
  // Calls are held without an answer until this is cleared; then they fail.
  bool silent_ = false;
  // Every call takes this much longer.
  Millis slow_;
  // So many appends take effect and lose their answer; below zero: all.
  int64_t lose_answers_ = 0;
};

struct LogServerOptions {
  std::string address_ = "127.0.0.1";
  uint16_t port_ = 0;
  LogStoreOptions store_;
  // Receives the journal, as lines; empty for none.
  std::string journal_file_;
  // Starts with the records of the journal file: a platform's log loses no
  // record that it has accepted when a process of it ends.
  bool restore_ = false;
};

// Thread safety: safe.
class LogServer {
 public:
  explicit LogServer(LogServerOptions options, Clock clock = Clock::Steady());
  ~LogServer();
  LogServer(const LogServer&) = delete;
  LogServer& operator=(const LogServer&) = delete;

  Status Open();
  // Answers what is held, then closes.
  void Close();

  void SetFaults(const LogFaults& faults);
  std::string url() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::standins

#endif  // BERGAMOTSCALE_STANDINS_PLATFORM_LOG_SERVER_H_
