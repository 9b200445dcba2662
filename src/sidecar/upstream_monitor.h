// Health checks of the upstream.
#ifndef BERGAMOTSCALE_SRC_SIDECAR_UPSTREAM_MONITOR_H_
#define BERGAMOTSCALE_SRC_SIDECAR_UPSTREAM_MONITOR_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/config_document.h"
#include "bergamotscale/ids.h"
#include "bergamotscale/units.h"
#include "src/wire/messages.h"

namespace bergamotscale::sidecar {

enum class UpstreamState {
  kUp,
  kLeaving,      // responded 503: it accepts no new work
  kSilent,       // no response in time, or another error status
  kUnreachable,  // the connection was refused
};

// The result of one probe.
struct UpstreamReport {
  UpstreamState state_ = UpstreamState::kUnreachable;
  std::vector<ModelId> models_;  // of an engine
  // The models among models_ that have a version or adapters.
  std::vector<wire::LoadedModel> loaded_;
};

// Probes the upstream periodically and on request.
// Thread safety: use on the io_context's thread, on which hooks are called.
class UpstreamMonitor {
 public:
  using ReportHook = std::function<void(const UpstreamReport&)>;

  // @param on_report called after each periodic probe.
  UpstreamMonitor(boost::asio::io_context& io,
                  GroupKind kind,
                  std::string base_url,
                  Millis interval,
                  ReportHook on_report);
  ~UpstreamMonitor();
  UpstreamMonitor(const UpstreamMonitor&) = delete;
  UpstreamMonitor& operator=(const UpstreamMonitor&) = delete;

  // Starts the periodic probes.
  void Start();
  // Probes immediately, and a few times more if the connection is lost.
  void Probe(ReportHook hook);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::sidecar

#endif  // BERGAMOTSCALE_SRC_SIDECAR_UPSTREAM_MONITOR_H_
