// One HTTP/1.1 connection to an upstream or to the platform.
#ifndef BERGAMOTSCALE_SRC_WEB_CLIENT_CONNECTION_H_
#define BERGAMOTSCALE_SRC_WEB_CLIENT_CONNECTION_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "bergamotscale/units.h"
#include "src/web/header_list.h"

namespace bergamotscale::web {

struct OutgoingRequest {
  std::string method_ = "GET";
  std::string target_ = "/";
  HeaderList headers_;  // with Host, without Content-Length
  std::string body_;
};

struct ResponseHead {
  int status_ = 0;
  HeaderList headers_;  // end-to-end
  bool has_length_ = false;
};

// How a request ended.
struct CallResult {
  // The complete response arrived.
  bool complete_ = false;
  // It had neither a length nor chunks, so the end of the connection ended it.
  bool ended_by_close_ = false;
  // The failure if the response is incomplete. The peer may still have received
  // the request.
  boost::system::error_code error_;
  // The peer sent bytes that are not valid HTTP.
  bool malformed_ = false;
};

struct ResponseHooks {
  // @return whether the response is for this request. Any other response is
  // read to its end and dropped.
  std::function<bool(const ResponseHead&)> matches_request_;
  std::function<void(const ResponseHead&)> on_head_;
  // @return false to pause reading until Resume().
  std::function<bool(std::string)> on_body_;
  // Called exactly once, as the last hook.
  std::function<void(const CallResult&)> on_end_;
};

// Sends one request at a time and never retries.
// Thread safety: use from the thread of its io_context. Hooks are called on
// that thread, never from within a method.
class ClientConnection {
 public:
  using OnConnected = std::function<void(const boost::system::error_code&)>;

  ClientConnection(boost::asio::io_context& io,
                   boost::asio::ip::tcp::endpoint peer);
  // Closes the connection; pending hooks are not called.
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  // @param timeout after which on_connected gets timed_out.
  void Connect(Millis timeout, OnConnected on_connected);

  // Precondition: connected, no request in progress, usable().
  void Send(OutgoingRequest call, ResponseHooks hooks);

  // Continues to read after on_body_ returned false.
  void Resume();

  // Closes the connection; hooks are not called any more.
  void Close();

  // When the connection was made, as its user measures it.
  void set_opened_at(Millis time) { opened_at_ = time; }
  Millis opened_at() const { return opened_at_; }

  // Keeps the object until this connection is destroyed, which counts the open
  // ones.
  void KeepWhileOpen(std::shared_ptr<const void> object);

  // Watches an idle connection. on_unusable is called once if the peer closes
  // it or sends unexpected bytes.
  void WatchIdle(std::function<void()> on_unusable);

  // @return whether another request may be sent: the last response was
  // complete, no bytes followed it, and the peer keeps the connection open.
  bool usable() const;
  // @return whether an idle connection is usable and the peer has neither
  // closed it nor sent anything, as far as the kernel knows: the callback of
  // WatchIdle() may still be queued behind the request that wants to use it.
  bool IsAlive();
  // @return how long the peer keeps an idle connection open, according to its
  // Keep-Alive header; zero if unknown.
  Millis keep_alive() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
  std::shared_ptr<const void> kept_;
  Millis opened_at_;
};

}  // namespace bergamotscale::web

#endif  // BERGAMOTSCALE_SRC_WEB_CLIENT_CONNECTION_H_
