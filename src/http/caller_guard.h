// Byte relay between callers and the HTTP listener of this process, which
// bounds what callers send and notices when they leave.
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
  // Where callers connect. Port 0 takes a free one.
  link::Endpoint public_endpoint_;
  // Where the listener of this process is open, on a loopback address.
  link::Endpoint listener_endpoint_;
  int max_connections_ = 10000;
  Bytes max_header_ = Bytes(int64_t{16} * 1024);
  Bytes max_body_ = Bytes(int64_t{8} * 1024 * 1024);
  // For the headers of one request, from their first byte.
  Millis header_timeout_ = Millis(10000);
  // For the body of one request, from the end of the headers.
  Millis body_timeout_ = Millis(30000);
  // For a connection without a request, and for a caller that doesn't take the
  // reply.
  Millis idle_timeout_ = Millis(60000);
  // Called on the io_context's thread for each caller that is refused here.
  std::function<void(ErrorCode)> on_refused_;
};

// Keeps a hook of CallerGuard::OnCallerLeft in place. Its end removes the
// hook; a call that has begun on the io_context's thread goes on.
// Thread safety: as a value; may be destroyed on any thread.
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

// Accepts callers and relays each to the listener from a source address of
// 127/8 that is its own, so that http_request::remote_address() names the
// caller. Holds one buffer a direction and connection: a side that doesn't
// read stops the other from being read. Answers 431, 408, 413 and 503 itself,
// with the JSON of ErrorJson and the verdict not_run; the listener's
// connection is closed then, so a handler must have the whole body before it
// runs anything. Requests that are sent before the reply to the one before
// are held until that is through. A caller that leaves with more of them on
// the way than the kernel buffers is noticed only when they are read.
// Thread safety: construct anywhere; see each method. Destroy it when the
// io_context no longer runs, or on its thread.
class CallerGuard {
 public:
  CallerGuard(boost::asio::io_context& io, CallerGuardOptions options);
  ~CallerGuard();
  CallerGuard(const CallerGuard&) = delete;
  CallerGuard& operator=(const CallerGuard&) = delete;

  // Binds and starts. Call once, before the io_context runs or on its thread.
  // @return the bound endpoint.
  Result<link::Endpoint> Listen();

  // Calls hook on the io_context's thread when the caller leaves, or soon if
  // it has left. A caller with an address that no guard gives out never
  // leaves. @param address http_request::remote_address(). Thread safety:
  // safe.
  [[nodiscard]] CallerWatch OnCallerLeft(const std::string& address,
                                         std::function<void()> hook);

  // Tells that a request of the caller is handled, or that its reply was
  // given; keeps its connection from being idle. Thread safety: safe.
  void RequestStarted(const std::string& address);
  void RequestFinished(const std::string& address);

  // Takes no new connections; those that the kernel holds are accepted still.
  // Each is closed once its reply is through; a new one without a request is
  // closed after a second, a kept one without a request at once.
  // Thread safety: safe.
  void StopAccepting();
  // @return whether all callers are through after StopAccepting().
  // Thread safety: safe.
  bool drained() const;
  // @return callers that are connected. Thread safety: safe.
  int open_connections() const;
  // Closes everything. Call on the io_context's thread or when it is stopped.
  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::http

#endif  // BERGAMOTSCALE_SRC_HTTP_CALLER_GUARD_H_
