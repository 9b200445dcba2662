// A stand-in for a plain service.
#ifndef BERGAMOTSCALE_STANDINS_SERVICE_SERVICE_SERVER_H_
#define BERGAMOTSCALE_STANDINS_SERVICE_SERVICE_SERVER_H_

#include <memory>
#include <string>

#include "bergamotscale/result.h"
#include "src/settings/field_reader.h"

namespace bergamotscale::standins {

struct ServiceSettings {
  std::string address_ = "127.0.0.1";
  int port_ = 0;
  // Time that one execution takes.
  Millis delay_ = Millis(5);
  std::string journal_file_;
};

void ReadServiceSettings(settings::FieldReader& reader,
                         ServiceSettings* settings);

// Routes:
//   POST on any other path     executes and responds {"executed", "path",
//                              "number", "digest"}
//   GET  /journal              one JSON line for each execution
//   POST /faults               {"delay_ms", "exit_before_answer",
//                              "hold_answers"}: the next N executions are
//                              recorded, but then the process exits at once
//                              or the response is never sent
//   GET  /healthz, /readyz, /metrics
// Executes each POST once and records it in the journal.
// Thread safety: Open() and Close() from one thread.
class ServiceServer {
 public:
  static constexpr int kCrashExitCode = 70;

  explicit ServiceServer(const ServiceSettings& settings);
  ~ServiceServer();
  ServiceServer(const ServiceServer&) = delete;
  ServiceServer& operator=(const ServiceServer&) = delete;

  Status Open();
  // Refuses new connections and waits a bounded time for running executions.
  // Idempotent.
  void Close();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::standins

#endif  // BERGAMOTSCALE_STANDINS_SERVICE_SERVICE_SERVER_H_
