// Starts listeners whose addresses may still be in use.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_LISTEN_RETRY_H_
#define BERGAMOTSCALE_SRC_GATEWAY_LISTEN_RETRY_H_

#include <functional>
#include <list>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamotscale/result.h"
#include "bergamotscale/units.h"
#include "src/gateway/decision_log.h"

namespace bergamotscale::gateway {

// Starts listeners, and retries those that fail with an increasing delay: an
// earlier process or an outgoing connection may still use the address. Each
// start and each new reason of a failure is logged.
// Thread safety: use from the thread of the io_context, which must not run
// after this object is destroyed.
class ListenRetry {
 public:
  ListenRetry(boost::asio::io_context& io, DecisionLog* log);
  ListenRetry(const ListenRetry&) = delete;
  ListenRetry& operator=(const ListenRetry&) = delete;

  // Starts a listener now, or later if that fails.
  // @param start binds the address. After a failure it is called again.
  void Add(std::string name,
           std::string address,
           std::function<Status()> start);
  // Gives up the listeners that are not started yet.
  void Stop();

  // @return whether the listener of this name is not started yet.
  bool IsPending(const std::string& name) const;

 private:
  struct Pending {
    std::string name_;
    std::string address_;
    std::function<Status()> start_;
    std::string last_error_;
  };

  // @return whether the listener was started.
  bool TryStart(Pending* pending);
  void ScheduleRetry();

  boost::asio::steady_timer timer_;
  DecisionLog* const log_;
  std::list<Pending> pending_;
  Millis delay_;
  bool scheduled_ = false;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_LISTEN_RETRY_H_
