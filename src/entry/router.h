// Receives callers' HTTP requests and starts a RequestFlow for each.
#ifndef BERGAMOTSCALE_SRC_ENTRY_ROUTER_H_
#define BERGAMOTSCALE_SRC_ENTRY_ROUTER_H_

#include <functional>
#include <memory>
#include <string>

#include "bergamotscale/result.h"
#include "src/config/config_follower.h"
#include "src/core/blackboard.h"
#include "src/entry/traffic_context.h"
#include "src/http/listener.h"

namespace bergamotscale::entry {

// Reports requests to the owner of callers' connections. A connection is
// identified by the remote address that the listener sees.
struct ConnectionHooks {
  // A request on the connection started, or its response was passed to the HTTP
  // library.
  std::function<void(const std::string& address)> request_started_;
  std::function<void(const std::string& address)> request_finished_;
  // Calls left once if the caller disconnects while the returned handle lives.
  std::function<std::shared_ptr<void>(const std::string& address,
                                      std::function<void()> left)>
      caller_watch_;
};

// Validates each request and keeps its flow until the response is written.
// Thread safety: safe; flows run on the traffic thread.
class Router {
 public:
  // @param config the configuration in force; it and traffic must outlive the
  // router.
  Router(TrafficContext& traffic,
         const LatestSnapshot<config::ConfigSnapshot>& config,
         ConnectionHooks connections);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // Handles all requests without another route. Call before listener.Open().
  void Attach(http::Listener& listener);

  // @return the number of requests whose response is not yet written.
  int active() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_ROUTER_H_
