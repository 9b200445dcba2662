// Sends a workload to entries over HTTP as an open loop.
#ifndef BERGAMOTSCALE_SRC_LOAD_LOAD_RUN_H_
#define BERGAMOTSCALE_SRC_LOAD_LOAD_RUN_H_

#include <string>
#include <vector>

#include "bergamotscale/units.h"
#include "src/load/live_request.h"
#include "src/load/workload.h"

namespace bergamotscale::load {

struct LoadRunOptions {
  // Entries such as "http://127.0.0.1:18001", used in turn.
  std::vector<std::string> entry_urls_;
  // Workspace keys, largest workspace first; the last one is used for all
  // further workspaces. If empty, the keys of MakeMixConfig().
  std::vector<std::string> keys_;
  // A request fails after this long without data.
  Millis timeout_ = Millis(120000);
};

// Sends each arrival at its time, regardless of earlier ones, and waits for all
// responses. Blocks; don't call it on a thread of the HTTP library.
// @return one result for each arrival, by number.
std::vector<RequestResult> RunLoad(const LoadRunOptions& options,
                                   Mix mix,
                                   const std::vector<Arrival>& arrivals);

}  // namespace bergamotscale::load

#endif  // BERGAMOTSCALE_SRC_LOAD_LOAD_RUN_H_
