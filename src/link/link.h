// Streams of framed messages between instances: HTTP/2 (nghttp2) over
// Boost.Asio sockets, with a heartbeat on every connection.
#ifndef BERGAMOTSCALE_SRC_LINK_LINK_H_
#define BERGAMOTSCALE_SRC_LINK_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "bergamotscale/result.h"
#include "bergamotscale/units.h"

namespace bergamotscale::link {

// An IP address and port.
struct Endpoint {
  std::string address_;
  uint16_t port_ = 0;

  friend bool operator==(const Endpoint& a, const Endpoint& b) {
    return a.address_ == b.address_ && a.port_ == b.port_;
  }
  friend bool operator<(const Endpoint& a, const Endpoint& b) {
    return a.address_ != b.address_ ? a.address_ < b.address_
                                    : a.port_ < b.port_;
  }
  std::string ToString() const {
    return address_ + ":" + std::to_string(port_);
  }
};

// Parses "1.2.3.4:567". @return kInvalidSettings if text has another form.
Result<Endpoint> ParseEndpoint(const std::string& text);

struct LinkOptions {
  // A PING is sent at this interval on every connection.
  Millis heartbeat_interval_ = Millis(500);
  // A connection on which nothing was received for this long is closed.
  Millis heartbeat_timeout_ = Millis(2000);
  Millis connect_timeout_ = Millis(1000);
  // Delay before a client reconnects.
  Millis reconnect_delay_ = Millis(200);
  Bytes max_frame_ = Bytes(int64_t{8} * 1024 * 1024);
};

// How the peer's side of a stream ended.
enum class StreamEnd {
  kFinished,  // the peer closed its side after its last message
  kReset,     // the peer reset the stream
  kLost,      // the connection closed or timed out
};

// Hooks of one stream, called on the io_context's thread. on_end_ is called
// last and exactly once, unless this side calls Reset() first. Hooks may call
// any function of this header and may destroy the client or the server.
struct StreamHooks {
  std::function<void(std::string_view frame)> on_message_;
  std::function<void(StreamEnd end)> on_end_;
};

// A copyable handle of one side of a stream. Calls after the end do nothing.
// The stream stays open when all handles are destroyed. When the server
// finishes its side, the client's side finishes automatically, so a stream that
// the server finished leaves open_streams() once the client has received
// everything. A client can still call Reset() after Finish(), but the server's
// on_end_ was called by then and doesn't report the reset.
// Thread safety: use on the io_context's thread only.
class Stream {
 public:
  Stream() = default;

  // Queues one message. The peer resets the stream if the message is longer
  // than its max_frame_.
  void Send(std::string frame);
  // Queues the end of this side; the peer sees kFinished after the messages.
  void Finish();
  // Resets the stream at once; no hook is called any more.
  void Reset();
  // @return whether Send() still has an effect.
  bool open() const;
  // @return bytes queued that are not yet part of a write to the socket.
  Bytes queued() const;

 private:
  friend class Connection;
  struct State;
  std::shared_ptr<State> state_;
};

// Accepts connections.
// Thread safety: construct anywhere; other calls on the io_context's thread.
class LinkServer {
 public:
  // Called for each stream a peer opens. @return the stream's hooks.
  using Accept =
      std::function<StreamHooks(const std::string& path, Stream stream)>;

  LinkServer(boost::asio::io_context& io, LinkOptions options, Accept accept);
  ~LinkServer();
  LinkServer(const LinkServer&) = delete;
  LinkServer& operator=(const LinkServer&) = delete;

  // Binds and starts to accept. Port 0 selects a free port.
  // @return the bound endpoint.
  Result<Endpoint> Listen(const Endpoint& endpoint);
  // Stops listening, sends GOAWAY on all connections and accepts no new
  // streams. A connection closes once its open streams have ended.
  void Drain();
  // @return the number of streams of which at least one side has not ended.
  int open_streams() const;
  // Closes everything; streams end as kLost before this returns. The destructor
  // does the same.
  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// Keeps one connection to a peer and reconnects when it is lost.
// Thread safety: use on the io_context's thread only.
class LinkClient {
 public:
  // Called with true when the peer's SETTINGS have arrived, and with false when
  // the connection is lost or draining (no new streams). If it is lost, this is
  // called before its streams end.
  using StateHook = std::function<void(bool usable)>;

  LinkClient(boost::asio::io_context& io,
             Endpoint peer,
             LinkOptions options,
             StateHook on_state);
  ~LinkClient();
  LinkClient(const LinkClient&) = delete;
  LinkClient& operator=(const LinkClient&) = delete;

  // Starts connecting.
  void Start();
  bool usable() const;
  // Opens a stream. @return kUpstreamUnreachable if not usable().
  Result<Stream> Open(const std::string& path, StreamHooks hooks);
  // Closes the connection permanently; streams end as kLost before this
  // returns, and StateHook is not called. The destructor does the same.
  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::link

#endif  // BERGAMOTSCALE_SRC_LINK_LINK_H_
