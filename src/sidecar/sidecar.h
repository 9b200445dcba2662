// A sidecar: its threads and its HTTP endpoints.
#ifndef BERGAMOTSCALE_SRC_SIDECAR_SIDECAR_H_
#define BERGAMOTSCALE_SRC_SIDECAR_SIDECAR_H_

#include <functional>
#include <memory>

#include "bergamotscale/result.h"
#include "src/sidecar/settings.h"

namespace bergamotscale::sidecar {

// Where a sidecar's traffic runs.
enum class TrafficThread {
  kOwn,   // on its own thread; any number of sidecars per process
  kHttp,  // on the HTTP library's single thread (see http::HttpThread), which
          // Stop() ends: one sidecar per process
};

// Runs request traffic for one upstream, plus a control thread for the log, the
// configuration and the instance list.
// Thread safety: use from one thread.
class Sidecar {
 public:
  // @param on_drained called on one of the sidecar's threads when it is leaving
  // and all work has ended. Must not call Stop() itself but have another thread
  // do so.
  Sidecar(const SidecarSettings& settings,
          std::function<void()> on_drained,
          TrafficThread thread = TrafficThread::kOwn);
  // Stops at once, without waiting for running work.
  ~Sidecar();
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  Status Start();
  // Refuses new work, waits for running work up to the drain timeout, and
  // closes.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_SIDECAR_H_
