// Turns callers' HTTP requests into flows on the traffic thread.
#ifndef BERGAMOTSCALE_SRC_ENTRY_ROUTER_H_
#define BERGAMOTSCALE_SRC_ENTRY_ROUTER_H_

#include <functional>
#include <memory>
#include <string>

#include "bergamotscale/result.h"
#include "src/config/config_follower.h"
#include "src/core/blackboard.h"
#include "src/entry/traffic.h"
#include "src/http/listener.h"

namespace bergamotscale::entry {

// How the router hears of callers' connections, each named by the remote
// address that the listener sees.
struct ConnectionHooks {
  // A request on the connection was begun, or its answer handed over.
  std::function<void(const std::string& address)> request_started_;
  std::function<void(const std::string& address)> request_finished_;
  // Calls left once if the caller leaves while the returned handle lives.
  std::function<std::shared_ptr<void>(const std::string& address,
                                      std::function<void()> left)>
      watch_;
};

// Thread safety: safe; flows run on the traffic thread.
class Router {
 public:
  // @param config the configuration in force. It and traffic must outlive the
  // router.
  Router(Traffic& traffic,
         const Slot<config::ConfigSnapshot>& config,
         ConnectionHooks connections);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // Takes all requests that have no other route. Call before Open().
  void Attach(http::Listener& listener);

  // @return requests whose answer has not been handed over.
  int active() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::entry

#endif  // BERGAMOTSCALE_SRC_ENTRY_ROUTER_H_
