// Accepts connections of callers and owns their sessions.
#ifndef BERGAMOTSCALE_SRC_WEB_LISTENER_H_
#define BERGAMOTSCALE_SRC_WEB_LISTENER_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "bergamotscale/result.h"
#include "src/web/caller_session.h"

namespace bergamotscale::web {

// @return the endpoint of "IP:PORT", or kInvalidSettings. Thread safety: safe.
Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(const std::string& text);

// Connections that the kernel holds until they are accepted.
inline constexpr int kBacklog = 1'024;

// Listens on one address and runs a CallerSession for each connection. Thread
// safety: use from the thread of its io_context.
class Listener {
 public:
  // @param hooks for the sessions; the listener sets on_closed_ itself.
  // @param max_sessions limit of open sessions. Where further connections wait,
  // sessions that wait for their callers give way.
  // @param backlog limit of the connections that the kernel holds meanwhile.
  Listener(boost::asio::io_context& io,
           SessionHooks hooks,
           size_t max_sessions,
           int backlog = kBacklog);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Listens on the address. May be called again after it has failed.
  Status Start(const boost::asio::ip::tcp::endpoint& address);
  // Accepts the connections that have arrived so far and closes the listening
  // socket; sessions continue.
  void StopAccepting();
  // Closes the sessions without a request in progress.
  void CloseIdle();
  // Rejects the requests that were not read as a whole, with 503. The process
  // ends soon.
  void RejectUnread();
  // Closes all sessions at once, as the process ends.
  void CutOff();
  // @return the number of open sessions.
  size_t sessions() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::web

#endif  // BERGAMOTSCALE_SRC_WEB_LISTENER_H_
