// Gives orders to engines while this entry holds the lease on placement.
#ifndef BERGAMOTSCALE_SRC_ENTRY_PLACEMENT_CONTROLLER_H_
#define BERGAMOTSCALE_SRC_ENTRY_PLACEMENT_CONTROLLER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/config_document.h"
#include "src/entry/settings.h"
#include "src/log/log_client.h"
#include "src/metrics/metrics.h"
#include "src/placement/placement_plan.h"
#include "src/timeline/timeline.h"

namespace bergamotscale::entry {

// What the controller needs of the entry.
struct PlacementHooks {
  using Engines = std::vector<placement::EngineView>;
  // Asks for the engines' last reports; done may be called on any thread.
  std::function<void(std::function<void(Engines)> done)> read_engines_;
  // @return the document in force, or null.
  std::function<std::shared_ptr<const ConfigDocument>()> config_;
};

// Follows the placement stream, tries to hold its lease, and as the holder
// appends orders by which each model that the configuration names is on as many
// engines as its demand needs, within the weight store's limit. The order of
// the log decides who holds; a holder that was paused, or can't read the log,
// stops giving orders by itself. Thread safety: use on the io_context's thread,
// but for StateJson().
class PlacementController {
 public:
  // @param client, timeline, metrics must outlive this, the context all calls.
  PlacementController(boost::asio::io_context& io,
                      log::LogClient& client,
                      const EntrySettings& settings,
                      timeline::Timeline& timeline,
                      metrics::Metrics& metrics,
                      PlacementHooks hooks);
  // Stops.
  ~PlacementController();
  PlacementController(const PlacementController&) = delete;
  PlacementController& operator=(const PlacementController&) = delete;

  void Start();
  // Gives the lease up and asks for it no more.
  void Leave();
  void Stop();

  // @return {"holder", "fence", "held", "loads_in_window", "weight_fetches",
  // "demand"} as this entry has read the log; holder is empty while none is
  // known, and the holder tells the slots that each model's demand needs.
  // Thread safety: safe.
  std::string StateJson() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_PLACEMENT_CONTROLLER_H_
