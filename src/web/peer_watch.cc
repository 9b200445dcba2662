#include "src/web/peer_watch.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include "src/web/socket_options.h"

namespace bergamotscale::web {

bool PeerSilence::Observe(const OutputState& state, Millis now) {
  const bool was_suspended = now - last_check_ > kMaxCheckGap;
  last_check_ = now;
  if (state.unconfirmed_ == 0 || state.unanswered_ == 0) {
    since_.reset();
    return false;
  }
  const Millis confirmed_at = now - state.since_confirmation_;
  if (!since_.has_value() || was_suspended || confirmed_at > *since_) {
    since_ = now;
  }
  return now - *since_ >= kLimit;
}

void PeerWatch::Begin(boost::asio::ip::tcp::socket& socket) {
  if (!watches_) {
    ReadInfo(socket);
  }
}

bool PeerWatch::Check(boost::asio::ip::tcp::socket& socket, Millis now) {
  state_ = OutputState();
  state_.unconfirmed_ = UnconfirmedOutput(socket);
  if (state_.unconfirmed_ > 0) {
    ReadInfo(socket);
  }
  const bool is_silent = silence_.Observe(state_, now);
  return watches_ && is_silent;
}

void PeerWatch::ReadInfo(boost::asio::ip::tcp::socket& socket) {
  tcp_info info = {};
  socklen_t size = sizeof(info);
  if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) !=
      0) {
    return;
  }
  state_.unanswered_ = info.tcpi_retransmits + info.tcpi_probes;
  state_.since_confirmation_ = Millis(int64_t{info.tcpi_last_ack_recv});
  if (!watches_ && info.tcpi_last_ack_recv > 0) {
    watches_ = true;
    AllowClosedWindow(socket);
  }
}

}  // namespace bergamotscale::web
