// The console's HTTP server behind a guard that bounds what browsers send.
#ifndef BERGAMOTSCALE_SRC_CONSOLE_GUARDED_LISTENER_H_
#define BERGAMOTSCALE_SRC_CONSOLE_GUARDED_LISTENER_H_

#include <memory>
#include <string>

#include "bergamotscale/result.h"
#include "src/http/listener.h"
#include "src/link/link.h"

namespace bergamotscale::console {

// Thread safety: as http::Listener.
class GuardedListener {
 public:
  // @param outer where browsers connect. @param inner where the HTTP library
  // listens, on loopback.
  GuardedListener(link::Endpoint outer, const link::Endpoint& inner);
  // Closes.
  ~GuardedListener();
  GuardedListener(const GuardedListener&) = delete;
  GuardedListener& operator=(const GuardedListener&) = delete;

  // Add routes to it before Open().
  http::Listener& listener();

  Status Open();
  // Lets replies out, for a bounded time. Idempotent.
  void Close();

  // @return such as "http://127.0.0.1:8080".
  std::string url() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::console

#endif  // BERGAMOTSCALE_SRC_CONSOLE_GUARDED_LISTENER_H_
