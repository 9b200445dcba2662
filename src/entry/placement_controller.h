// Decides which engines load which models.
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

// Functions through which the controller reads the state of the entry.
struct PlacementHooks {
  using Engines = std::vector<placement::EngineView>;
  // Collects the engines' latest reports; may call done on any thread.
  std::function<void(std::function<void(Engines)> done)> read_engines_;
  // @return the document in force, or null.
  std::function<std::shared_ptr<const ConfigDocument>()> config_;
};

// Follows the placement stream of the log and competes for its lease. While it
// holds the lease, it appends engine orders so that each configured model is
// loaded on as many engines as its demand needs, within the weight store's rate
// limit. The sequence of records in the log determines the holder. A holder
// issues no orders if it was paused or can't read the log. Thread safety: use
// on the io_context's thread, except StateJson().
class PlacementController {
 public:
  // @param client, timeline, metrics must outlive this; io must outlive all
  // calls that are in flight.
  PlacementController(boost::asio::io_context& io,
                      log::LogClient& client,
                      const EntrySettings& settings,
                      timeline::Timeline& timeline,
                      metrics::Metrics& metrics,
                      PlacementHooks hooks);
  // Calls Stop().
  ~PlacementController();
  PlacementController(const PlacementController&) = delete;
  PlacementController& operator=(const PlacementController&) = delete;

  void Start();
  // Releases the lease and stops requesting it.
  void Leave();
  void Stop();

  // @return {"holder", "fence", "held", "loads_in_window", "weight_fetches",
  // "demand"} from this entry's view of the log; "holder" is empty while
  // unknown. Only the holder fills "demand": slots that each model needs.
  // Thread safety: safe.
  std::string StateJson() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_PLACEMENT_CONTROLLER_H_
