// One caller's HTTP/1.1 connection: reads requests one after another and writes
// the responses.
#ifndef BERGAMOTSCALE_SRC_WEB_CALLER_SESSION_H_
#define BERGAMOTSCALE_SRC_WEB_CALLER_SESSION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "bergamotscale/units.h"
#include "src/policy/buffer_budget.h"
#include "src/policy/waiting_sessions.h"
#include "src/web/header_list.h"
#include "src/web/socket_options.h"

namespace bergamotscale::web {

struct IncomingRequest {
  std::string method_;
  std::string target_;
  std::string host_;
  HeaderList headers_;  // end-to-end, with Host
  std::string body_;
};

struct SessionLimits {
  Bytes max_header_;
  Bytes max_body_;
  // From the first byte of a request to the end of its headers. While the body
  // arrives, the timeout restarts with each read.
  Millis header_timeout_;
  // Longest time between two requests.
  Millis idle_timeout_;
};

// How long it takes to find out whether a caller whose input has ended still
// reads.
inline constexpr Millis kResetCheckTime = Millis(20);

// Writes the response to one request. Call exactly one of Reply() and
// BeginStream(); end a stream with EndStream() or Abort().
// Thread safety: use from the thread of the session.
class Responder {
 public:
  virtual ~Responder() = default;

  // Writes a complete response.
  virtual void Reply(int status, HeaderList headers, std::string body) = 0;
  // Writes the head of a response whose body follows in parts.
  virtual void BeginStream(int status, HeaderList headers) = 0;
  // Writes a part of the body.
  // @return false if the source should pause because too much is buffered;
  // on_writable_ of the hooks is called when it may continue.
  virtual bool Write(std::string bytes) = 0;
  // Ends the response as complete.
  virtual void EndStream() = 0;
  // Closes the connection so that the caller can't take the response as
  // complete.
  virtual void Abort() = 0;
  // @return whether the caller has left, or its input has ended and it isn't
  // known yet whether it still reads. If it doesn't, on_disconnect_ is called
  // once that shows; ask again after kResetCheckTime.
  virtual bool MayHaveLeft() = 0;
};

// Notifications to the handler of a request while it is in progress.
struct CallerHooks {
  // The caller closed its connection; nothing more can be written. A caller
  // that only sends nothing more still gets its response.
  std::function<void()> on_disconnect_;
  std::function<void()> on_writable_;
  // Called once after Reply() or EndStream(), when the caller has confirmed the
  // whole response or the connection has been closed in order.
  // @param loss why the caller did not get it; null if it did.
  std::function<void(const char* loss)> on_settled_;
  // From the arrival of the request. A response that the caller doesn't read
  // is dropped after it. Zero for the time that an idle connection has.
  Millis time_limit_;
};

struct SessionHooks {
  std::function<SessionLimits()> limits_;
  // A complete request was read. The handler keeps the responder while it works
  // on the request, and returns its hooks.
  std::function<CallerHooks(IncomingRequest, std::shared_ptr<Responder>)>
      on_request_;
  // The session itself rejected a request that it could not read.
  std::function<void(int status, const std::string& reason)> on_refused_;
  std::function<void()> on_closed_;
  // @return whether the process is stopping: responses then close the
  // connection.
  std::function<bool()> stopping_;
  // The session was closed because further connections wait; may be null.
  std::function<void(policy::SessionWait)> on_gave_way_;
  // Bounds what sessions keep in memory; may be null. Must outlive them.
  policy::BufferBudget* buffers_ = nullptr;
  // Whether bodies are read and dropped, because no request needs one.
  bool drops_bodies_ = false;
  // Size requested for each of the system's buffers of a connection.
  Bytes system_buffer_ = kMaxSystemBuffer;
};

inline constexpr Millis kInspectInterval = Millis(200);

// Serves requests on an accepted socket. Once started, it owns itself until the
// connection is closed.
// Thread safety: use from the thread of the socket's io_context.
class CallerSession {
 public:
  CallerSession(boost::asio::ip::tcp::socket socket, SessionHooks hooks);
  ~CallerSession();
  CallerSession(CallerSession&&) noexcept;
  CallerSession& operator=(CallerSession&&) noexcept;

  void Start();
  // Closes the connection if no request is in progress.
  void CloseIfIdle();
  // Rejects a request that was not read as a whole, with 503.
  void RejectUnread();
  // Counts what the system's buffers hold towards the budget, and finds out
  // whether the caller confirms what it was sent. Call it about every
  // kInspectInterval.
  void Inspect();
  // Closes the connection at once, as the process ends.
  void CutOff();
  // @return what the session waits for; none while a request is in progress or
  // the next one has arrived.
  std::optional<policy::WaitingSession> Waiting() const;
  // Closes the connection at once, if it is waiting. An unfinished request gets
  // a 503 if that can be written without waiting.
  void GiveWay();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::web

#endif  // BERGAMOTSCALE_SRC_WEB_CALLER_SESSION_H_
