// One caller's connection: reads requests one after another, writes answers.
#ifndef BERGAMOTSCALE_SRC_WEB_CALLER_SESSION_H_
#define BERGAMOTSCALE_SRC_WEB_CALLER_SESSION_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "bergamotscale/units.h"
#include "src/web/header_list.h"

namespace bergamotscale::web {

struct IncomingCall {
  std::string method_;
  std::string target_;
  std::string host_;
  HeaderList headers_;  // end-to-end, with Host
  std::string body_;
};

struct SessionLimits {
  Bytes max_header_;
  Bytes max_body_;
  // From the first byte of a request to the end of its headers; the same again
  // without any progress ends a body.
  Millis header_timeout_;
  // Between requests.
  Millis idle_timeout_;
};

// Writes the answer to one call. Exactly one of Reply() and BeginStream() is
// called, a stream is ended by EndStream() or Abort().
// Thread safety: use from the thread of the session.
class Responder {
 public:
  virtual ~Responder() = default;

  // Writes a whole answer.
  virtual void Reply(int status, HeaderList headers, std::string body) = 0;
  // Writes the head of an answer that comes in pieces.
  virtual void BeginStream(int status, HeaderList headers) = 0;
  // Writes a piece.
  // @return false if so much waits to be written that the source should pause;
  // on_writable of the hooks is called when it may go on.
  virtual bool Write(std::string bytes) = 0;
  // Ends the answer as a whole one.
  virtual void EndStream() = 0;
  // Closes the connection so that the answer can't look whole.
  virtual void Abort() = 0;
};

// What a handler is told while it works on a call.
struct CallerHooks {
  // The caller closed its connection; nothing more can be written.
  std::function<void()> on_left_;
  std::function<void()> on_writable_;
};

struct SessionHooks {
  std::function<SessionLimits()> limits_;
  // A whole request was read. The handler keeps the responder for as long as
  // it works on the call, and returns what it wants to be told.
  std::function<CallerHooks(IncomingCall, std::shared_ptr<Responder>)> on_call_;
  // The session itself refused bytes that are no proper request.
  std::function<void(int status, const std::string& reason)> on_refused_;
  std::function<void()> on_closed_;
  // @return whether the instance is stopping: answers close the connection.
  std::function<bool()> stopping_;
};

// Starts a session on an accepted socket. It keeps itself alive until the
// connection is closed.
// Thread safety: use from the thread of the socket's io_context.
class CallerSession {
 public:
  CallerSession(boost::asio::ip::tcp::socket socket, SessionHooks hooks);
  ~CallerSession();
  CallerSession(CallerSession&&) noexcept;
  CallerSession& operator=(CallerSession&&) noexcept;

  void Start();
  // Closes the connection if it is between requests.
  void CloseIfIdle();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::web

#endif  // BERGAMOTSCALE_SRC_WEB_CALLER_SESSION_H_
