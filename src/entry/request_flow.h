// Processes one request from its arrival to the end of its response.
#ifndef BERGAMOTSCALE_SRC_ENTRY_REQUEST_FLOW_H_
#define BERGAMOTSCALE_SRC_ENTRY_REQUEST_FLOW_H_

#include <functional>
#include <memory>

#include "src/entry/caller_request.h"
#include "src/entry/response_writer.h"
#include "src/entry/traffic_context.h"

namespace bergamotscale::entry {

// Admits the request, runs attempts with retries and resumes, and writes the
// response. A request that is refused before its work was sent to a sidecar is
// reported as "not_run", since nothing can have executed it.
// Thread safety: use on the traffic thread only.
class RequestFlow {
 public:
  // @param on_end called once, when the response has been passed to the HTTP
  // library.
  RequestFlow(TrafficContext& traffic,
              CallerRequest request,
              std::unique_ptr<ResponseWriter> writer,
              std::function<void()> on_end);
  ~RequestFlow();
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  // Checks quarantine and admission, then starts the first attempt or refuses.
  void Start();

  // Cancels all work, because the caller has disconnected.
  void CallerLeft();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_REQUEST_FLOW_H_
