// One HTTP/2 connection: an nghttp2 session over a TCP socket.
#ifndef BERGAMOTSCALE_SRC_LINK_CONNECTION_H_
#define BERGAMOTSCALE_SRC_LINK_CONNECTION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include <nghttp2/nghttp2.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamotscale/clock.h"
#include "src/link/link.h"
#include "src/link/stream_state.h"

namespace bergamotscale::link {

// Size of one read from the socket.
inline constexpr size_t kReadBytes = size_t{64} * 1024;

enum class Role { kClient, kServer };

struct ConnectionHooks {
  // Server: called for each stream that the peer opens.
  std::shared_ptr<const LinkServer::Accept> accept_;
  // Called when the peer's first SETTINGS arrive.
  std::function<void()> on_ready_;
  // Called when the peer accepts no new streams.
  std::function<void()> on_draining_;
  // Called when the connection closes, before its streams end.
  std::function<void()> on_closed_;
};

// Reads and writes the socket, sends heartbeats and manages the streams. Keeps
// itself alive while socket operations are pending. Hooks may call any method.
// Thread safety: use on the io_context's thread only.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using StreamState = Stream::State;
  using Socket = boost::asio::ip::tcp::socket;

  Connection(Socket socket,
             Role role,
             const LinkOptions& options,
             ConnectionHooks hooks);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Sends the SETTINGS, starts to read and starts the heartbeat.
  void Start();
  // Opens a stream. Client only.
  Result<Stream> Open(const std::string& path, StreamHooks hooks);
  // Sends GOAWAY; the connection closes once no stream is open.
  void Drain();
  // Closes the socket. Streams end as kLost.
  void Close();
  int open_streams() const { return static_cast<int>(streams_.size()); }

  // Called by Stream when it has output to send or is reset.
  void ResumeStream(const StreamState& state);
  void ResetStream(int32_t id);

  // Called by the nghttp2 session's callbacks.
  void OnRequest(int32_t id);
  void OnPath(int32_t id, std::string_view path);
  void OnData(int32_t id, std::string_view bytes);
  void OnPeerFinished(int32_t id);
  void OnStreamClosed(int32_t id);
  void OnSettings();
  void OnGoAway();
  // @return the number of bytes written to target, or an nghttp2 error code.
  ssize_t ReadOutput(int32_t id, uint8_t* target, size_t size, uint32_t* flags);

 private:
  using AsioError = boost::system::error_code;

  std::shared_ptr<StreamState> Find(int32_t id) const;
  void StartHeartbeat();
  void OnHeartbeat();
  void Read();
  void OnRead(size_t count);
  void ScheduleFlush();
  void Flush();
  void CollectOutput();
  void Write();
  void CloseIfDone();
  void FinishOrReset(const std::shared_ptr<StreamState>& state);

  Socket socket_;
  const Role role_;
  const LinkOptions options_;
  ConnectionHooks hooks_;
  const Clock clock_ = Clock::Steady();
  boost::asio::steady_timer heartbeat_;
  nghttp2_session* session_ = nullptr;
  std::unordered_map<int32_t, std::shared_ptr<StreamState>> streams_;
  std::unordered_map<int32_t, std::string> paths_;
  std::array<uint8_t, kReadBytes> input_;
  std::string output_;
  Millis last_received_;
  Millis last_heartbeat_;
  bool flush_scheduled_ = false;
  bool writing_ = false;
  bool settings_received_ = false;
  bool draining_ = false;
  bool closed_ = false;
};

}  // namespace bergamotscale::link

#endif  // BERGAMOTSCALE_SRC_LINK_CONNECTION_H_
