// The HTTP server of the engine stand-in.
#ifndef BERGAMOTSCALE_STANDINS_ENGINE_ENGINE_SERVER_H_
#define BERGAMOTSCALE_STANDINS_ENGINE_ENGINE_SERVER_H_

#include <memory>

#include "bergamotscale/result.h"
#include "standins/engine/engine_settings.h"

namespace bergamotscale::standins {

// Routes:
//   POST /v1/chat/completions  generates; see ChatRequest and Generation
//   POST /v1/cancel            {"id"}: cancels the request with that id
//   GET  /v1/models            the loaded models
//   GET  /journal              one JSON line for each execution
//   GET  /load                 the load report, which lags
//   GET  /cache_events?from=N  cache events, delayed and with gaps
//   POST /orders, GET /orders  see EngineOrders
//   POST /kv/export            {"id"}: the KV state of a running request
//   POST /kv/import            imports the result of /kv/export
//   POST /faults               {"straggler_factor", "crash_after_tokens",
//                              "crash", "hang"}, each optional
//   GET  /healthz, /readyz, /metrics
// Runs an engine model behind an engine's HTTP API. A crash ends the process at
// once with kCrashExitCode.
// Thread safety: Open() and Close() from one thread.
class EngineServer {
 public:
  static constexpr int kCrashExitCode = 70;

  explicit EngineServer(const EngineSettings& settings);
  ~EngineServer();
  EngineServer(const EngineServer&) = delete;
  EngineServer& operator=(const EngineServer&) = delete;

  Status Open();
  // Refuses new requests, waits a bounded time for running ones and closes the
  // listener.
  void Close();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::standins

#endif  // BERGAMOTSCALE_STANDINS_ENGINE_ENGINE_SERVER_H_
