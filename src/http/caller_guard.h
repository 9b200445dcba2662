// Relay between callers and the HTTP listener of this process that limits what
// callers send and detects when they disconnect.
#ifndef BERGAMOTSCALE_SRC_HTTP_CALLER_GUARD_H_
#define BERGAMOTSCALE_SRC_HTTP_CALLER_GUARD_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/result.h"
#include "bergamotscale/units.h"
#include "src/link/link.h"

namespace bergamotscale::http {

struct CallerGuardOptions {
  // Where callers connect. Port 0 selects a free port.
  link::Endpoint public_endpoint_;
  // Endpoint of this process's listener, on a loopback address.
  link::Endpoint listener_endpoint_;
  int max_connections_ = 10000;
  Bytes max_header_ = Bytes(int64_t{16} * 1024);
  Bytes max_body_ = Bytes(int64_t{8} * 1024 * 1024);
  // Limit for receiving a request's headers, from their first byte.
  Millis header_timeout_ = Millis(10000);
  // Limit for receiving a request's body, from the end of the headers.
  Millis body_timeout_ = Millis(30000);
  // Limit for a connection without a request, and for a caller that doesn't
  // read the response.
  Millis idle_timeout_ = Millis(60000);
  // Called on the io_context's thread for each caller that the guard refuses.
  std::function<void(ErrorCode)> on_refused_;
};

// Registration of a hook with CallerGuard::OnCallerLeft. Its destruction
// removes the hook, but doesn't wait for a call in progress on the io_context's
// thread. Thread safety: use from one thread at a time; may be destroyed on any
// thread.
class CallerWatch {
 public:
  CallerWatch() = default;
  ~CallerWatch() { Cancel(); }
  CallerWatch(CallerWatch&& other) noexcept;
  CallerWatch& operator=(CallerWatch&& other) noexcept;
  CallerWatch(const CallerWatch&) = delete;
  CallerWatch& operator=(const CallerWatch&) = delete;

  void Cancel();

 private:
  friend class CallerGuard;
  std::function<void()> cancel_;
};

// Accepts callers and relays each connection to the listener from its own
// source address in 127/8, so that http_request::remote_address() identifies
// the caller. Buffers are bounded: while one side doesn't read, the guard
// doesn't read from the other. The guard itself responds with 431, 408, 413 and
// 503, the JSON of ErrorJson and the verdict not_run, and then closes the
// listener's connection; a handler must therefore read the complete body before
// it executes anything. Pipelined requests are held until the response before
// them is complete. If a caller has sent more of them than the kernel buffers,
// its disconnect is detected only after they have been read. Thread safety:
// construct on any thread; see each method. Destroy on the io_context's thread
// or when the io_context is stopped.
class CallerGuard {
 public:
  CallerGuard(boost::asio::io_context& io, CallerGuardOptions options);
  ~CallerGuard();
  CallerGuard(const CallerGuard&) = delete;
  CallerGuard& operator=(const CallerGuard&) = delete;

  // Binds and starts to accept. Call once, before the io_context runs or on its
  // thread.
  // @return the bound endpoint.
  Result<link::Endpoint> Listen();

  // Calls hook on the io_context's thread when the caller disconnects, or soon
  // if it has already disconnected. Never calls it for an address that no guard
  // assigns.
  // @param address http_request::remote_address(). Thread safety: safe.
  [[nodiscard]] CallerWatch OnCallerLeft(const std::string& address,
                                         std::function<void()> hook);

  // Marks a request of the caller as in progress or as answered. A connection
  // with a request in progress is not idle. Thread safety: safe.
  void RequestStarted(const std::string& address);
  void RequestFinished(const std::string& address);

  // Stops accepting new connections, except those that the kernel has already
  // queued. Each connection is closed after its response; one without a request
  // is closed at once, or after a second if it is new.
  // Thread safety: safe.
  void StopAccepting();
  // @return whether StopAccepting() was called and all connections are closed.
  // Thread safety: safe.
  bool drained() const;
  // @return the number of connected callers. Thread safety: safe.
  int open_connections() const;
  // Closes all connections. Call on the io_context's thread or when it is
  // stopped.
  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::http

#endif  // BERGAMOTSCALE_SRC_HTTP_CALLER_GUARD_H_
