// A sidecar: its threads and its HTTP side.
#ifndef BERGAMOTSCALE_SRC_SIDECAR_SIDECAR_H_
#define BERGAMOTSCALE_SRC_SIDECAR_SIDECAR_H_

#include <functional>
#include <memory>

#include "bergamotscale/result.h"
#include "src/sidecar/settings.h"

namespace bergamotscale::sidecar {

// Where a sidecar's traffic runs.
enum class TrafficThread {
  kOwn,   // on a thread of its own; any number of sidecars in a process
  kHttp,  // on the HTTP library's single thread, see http::HttpThread, which
          // the stop ends: one sidecar in a process
};

// Runs one control thread besides.
// Thread safety: use from one thread.
class Sidecar {
 public:
  // @param on_drained called on a thread of the sidecar when it has left by
  // its own decision and all work is done; calls Stop() elsewhere.
  Sidecar(const SidecarSettings& settings,
          std::function<void()> on_drained,
          TrafficThread thread = TrafficThread::kOwn);
  // Stops at once what Stop() has not stopped.
  ~Sidecar();
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  Status Start();
  // Leaves: refuses new work, waits for running work for a bounded time, and
  // closes.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_SIDECAR_H_
