// The HTTP server of the log stand-in, with fault injection.
//
// POST /streams/NAME/append          {"offset"}
// GET  /streams/NAME/records         ?from=N&wait_ms=W&max=M; from=-1: oldest
// GET  /faults, POST /faults         any of the fields of LogFaults
// GET  /journal                      one JSON line for each append
//
// 429: over the append limit; 410: records expired; 503: down, nothing was
// appended; 504: the append took effect but its response is lost.
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

// Active faults. In JSON: "down", "silent", "slow_ms", "lose_answers".
struct LogFaults {
  // Every call is refused with 503.
  bool down_ = false;
  // Calls get no response until this is cleared; then they fail.
  bool silent_ = false;
  // Every call takes this much longer.
  Millis slow_;
  // Number of following appends that take effect but lose their response;
  // negative for all.
  int64_t lose_answers_ = 0;
};

struct LogServerOptions {
  std::string address_ = "127.0.0.1";
  uint16_t port_ = 0;
  LogStoreOptions store_;
  // The journal's lines are appended to this file; empty for none.
  std::string journal_file_;
  // Whether to start with the records of the journal file, like a durable log
  // after a restart.
  bool restore_ = false;
};

// Serves appends and long-polling reads of a LogStore.
// Thread safety: safe.
class LogServer {
 public:
  explicit LogServer(LogServerOptions options, Clock clock = Clock::Steady());
  ~LogServer();
  LogServer(const LogServer&) = delete;
  LogServer& operator=(const LogServer&) = delete;

  Status Open();
  // Ends waiting reads with 503, then closes the server.
  void Close();

  void SetFaults(const LogFaults& faults);
  std::string url() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::standins

#endif  // BERGAMOTSCALE_STANDINS_PLATFORM_LOG_SERVER_H_
