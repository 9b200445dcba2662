// Sends a workload to entries over HTTP, open loop.
#ifndef BERGAMOTSCALE_SRC_LOAD_LOAD_RUN_H_
#define BERGAMOTSCALE_SRC_LOAD_LOAD_RUN_H_

#include <string>
#include <vector>

#include "bergamotscale/units.h"
#include "src/load/live_request.h"
#include "src/load/workload.h"

namespace bergamotscale::load {

struct LoadRunOptions {
  // Callers take turns at these, such as "http://127.0.0.1:18001".
  std::vector<std::string> entry_urls_;
  // Keys of the workspaces, largest first; the last serves all further ones.
  // Empty: the keys of ConfigOf().
  std::vector<std::string> keys_;
  // A silence for this long fails a request.
  Millis timeout_ = Millis(120000);
};

// Sends each arrival at its time, whatever became of those before, and waits
// for all answers. Blocks; don't call on a thread of the HTTP library.
// @return one result for each arrival, by number.
std::vector<RequestResult> RunLoad(const LoadRunOptions& options,
                                   Mix mix,
                                   const std::vector<Arrival>& arrivals);

}  // namespace bergamotscale::load

#endif  // BERGAMOTSCALE_SRC_LOAD_LOAD_RUN_H_
