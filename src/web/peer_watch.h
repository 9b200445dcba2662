// Tells a peer that is lost from one that reads slowly.
#ifndef BERGAMOTSCALE_SRC_WEB_PEER_WATCH_H_
#define BERGAMOTSCALE_SRC_WEB_PEER_WATCH_H_

#include <cstddef>
#include <optional>

#include <boost/asio/ip/tcp.hpp>

#include "bergamotscale/units.h"

namespace bergamotscale::web {

// What the system knows of the output of a connection.
struct OutputState {
  // Bytes that were written and that the peer has not confirmed.
  size_t unconfirmed_ = 0;
  // Retransmissions, and probes of a closed window, since the peer last
  // confirmed anything.
  int unanswered_ = 0;
  // Time since the peer last confirmed anything.
  Millis since_confirmation_;
};

// A peer that keeps its window closed still confirms each probe. Thread safety:
// none.
class PeerSilence {
 public:
  // A peer that has confirmed nothing for this long, while something was sent
  // to it again, is lost. Together with the time until the first repetition it
  // is longer than an interruption from which a path recovers by
  // retransmission, and callers time out on a silent stream after two seconds.
  static constexpr Millis kLimit = Millis(2'300);
  // Checks that are further apart say nothing on the time in between, in which
  // the process may have been suspended.
  static constexpr Millis kMaxCheckGap = Millis(1'000);

  // @return whether the peer is lost. Call it several times a second while
  // bytes are unconfirmed.
  bool Observe(const OutputState& state, Millis now);

 private:
  // Since when nothing answers.
  std::optional<Millis> since_;
  Millis last_check_;
};

// TCP_USER_TIMEOUT ends a connection whose peer keeps its window closed, as
// well as one whose peer is lost. So once the system is seen to tell when the
// peer last confirmed anything, this class watches the connection in its place.
// Thread safety: none.
class PeerWatch {
 public:
  // Finds out whether the system tells. Call it on a connection that has been
  // idle, before output may fill the window.
  void Begin(boost::asio::ip::tcp::socket& socket);

  // Call it several times a second while bytes are unconfirmed.
  // @return whether the peer is lost.
  bool Check(boost::asio::ip::tcp::socket& socket, Millis now);

  // @return what the last check found.
  size_t unconfirmed() const { return state_.unconfirmed_; }

 private:
  void ReadInfo(boost::asio::ip::tcp::socket& socket);

  PeerSilence silence_;
  OutputState state_;
  bool watches_ = false;
};

}  // namespace bergamotscale::web

#endif  // BERGAMOTSCALE_SRC_WEB_PEER_WATCH_H_
