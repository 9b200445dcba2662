// An HTTP server behind a CallerGuard.
#ifndef BERGAMOTSCALE_SRC_HTTP_GUARDED_LISTENER_H_
#define BERGAMOTSCALE_SRC_HTTP_GUARDED_LISTENER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "bergamotscale/result.h"
#include "bergamotscale/units.h"
#include "src/http/listener.h"
#include "src/link/link.h"

namespace bergamotscale::http {

struct GuardedListenerOptions {
  // Where callers connect.
  link::Endpoint caller_endpoint_;
  // Where the HTTP library listens, on a loopback address.
  link::Endpoint library_endpoint_;
  Bytes max_body_ = Bytes(int64_t{64} * 1024);
  int max_connections_ = 256;
  // Close() waits at most this long for responses to complete.
  Millis drain_limit_ = Millis(2000);
};

// Listener with limits on what callers send.
// Thread safety: the same as Listener.
class GuardedListener {
 public:
  explicit GuardedListener(GuardedListenerOptions options);
  // Calls Close().
  ~GuardedListener();
  GuardedListener(const GuardedListener&) = delete;
  GuardedListener& operator=(const GuardedListener&) = delete;

  // @return the listener. Add routes to it before Open().
  Listener& listener();

  Status Open();
  // Stops accepting, waits up to drain_limit_ for responses to complete, then
  // closes. Idempotent.
  void Close();

  // @return the URL for callers, such as "http://127.0.0.1:8080".
  std::string url() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bergamotscale::http

#endif  // BERGAMOTSCALE_SRC_HTTP_GUARDED_LISTENER_H_
