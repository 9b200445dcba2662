// Relays the bytes of one caller's connection to the listener.
#ifndef BERGAMOTSCALE_SRC_HTTP_CALLER_CONNECTION_H_
#define BERGAMOTSCALE_SRC_HTTP_CALLER_CONNECTION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "bergamotscale/clock.h"
#include "bergamotscale/error.h"
#include "src/http/caller_guard.h"
#include "src/http/caller_registry.h"
#include "src/http/request_bounds.h"

namespace bergamotscale::http {

// Buffer size for each direction of a connection.
inline constexpr size_t kRelayBufferBytes = size_t{16} * 1024;

// Relays until either side closes. Keeps itself alive while operations are
// pending.
// Thread safety: use on the io_context's thread only.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  using Tcp = boost::asio::ip::tcp;
  using ClosedHook =
      std::function<void(const std::shared_ptr<CallerConnection>&)>;

  // @param options and registry must outlive the connection.
  CallerConnection(Tcp::socket caller,
                   std::shared_ptr<const CallerGuardOptions> options,
                   std::shared_ptr<CallerRegistry> registry,
                   ClosedHook on_closed);
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  // Connects to the listener and starts to relay.
  void Start();
  // Sends an error response to the caller, then closes.
  void Refuse(ErrorCode code);
  // Checks the deadlines and whether the caller has disconnected; call several
  // times a second. @param stopping whether to close if no request is in
  // progress.
  void Sweep(bool stopping);
  void Close();

 private:
  using AsioError = boost::system::error_code;

  void OnConnected();
  void ReadCaller();
  // Forwards buffered bytes up to the end of the current request. The rest
  // waits for the end of the response, because the HTTP library drops bytes
  // that it reads after a request.
  void ForwardBuffered();
  void OnForwarded();
  bool MayForwardNext(Millis now) const;
  void ReadListener();
  void OnListenerBytes(size_t count);
  // Ends the relay, then reads and drops for up to 2 s what the caller still
  // sends. An immediate close could reset the connection before the caller has
  // read the response.
  void Linger();
  void EndRelay();

  ErrorCode AcceptBuffered(size_t* taken);
  bool CallerHasLeft();
  bool HasUnread() const;
  bool Idle() const;
  Millis AllowedIdle(bool stopping) const;
  ErrorCode CheckDeadlines(Millis now) const;

  Tcp::socket caller_;
  Tcp::socket listener_;
  const std::shared_ptr<const CallerGuardOptions> options_;
  const std::shared_ptr<CallerRegistry> registry_;
  ClosedHook on_closed_;
  const Clock clock_ = Clock::Steady();
  std::string address_;  // empty before and after the relay
  RequestBounds bounds_;
  std::array<char, kRelayBufferBytes> from_caller_;
  std::array<char, kRelayBufferBytes> from_listener_;
  size_t buffer_begin_ = 0;  // start of the bytes not yet forwarded
  size_t buffer_end_ = 0;
  std::string refusal_;
  Millis last_activity_;
  Millis phase_start_;
  Millis write_start_;
  Millis linger_start_;
  bool reading_caller_ = false;
  bool next_request_waits_ = false;  // until the current response ends
  bool writing_listener_ = false;
  bool writing_caller_ = false;
  bool pipelined_ = false;
  bool overdue_ = false;  // whether a limit was exceeded at the last sweep
  bool lingering_ = false;
  bool closed_ = false;
};

}  // namespace bergamotscale::http

#endif  // BERGAMOTSCALE_SRC_HTTP_CALLER_CONNECTION_H_
