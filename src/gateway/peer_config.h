// Takes the configuration from peers that have a newer one in force.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_PEER_CONFIG_H_
#define BERGAMOTSCALE_SRC_GATEWAY_PEER_CONFIG_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "bergamotscale/clock.h"
#include "bergamotscale/units.h"
#include "src/gateway/control_state.h"
#include "src/gateway/decision_log.h"
#include "src/web/caller_session.h"

namespace bergamotscale::gateway {

// Answers a peer's request for the configuration in force, with the time since
// it was last confirmed. Thread safety: use from the thread of the responder.
void AnswerPeerConfig(const ControlState& state,
                      Millis now,
                      const std::string& target,
                      web::Responder& responder);

struct PeerConfigHooks {
  // @return the version in force; zero if there is none.
  std::function<int64_t()> own_version_;
  // A peer's configuration, and the time up to which the peer had confirmed it.
  std::function<void(std::string document, Millis as_of)> on_config_;
};

// Reads the configuration of a peer if its version stays ahead of the own one:
// the log is out of reach, or was restored and has forgotten that version.
// Thread safety: use from the thread of the io_context.
class PeerConfigReader {
 public:
  PeerConfigReader(boost::asio::io_context& io,
                   Clock boot,
                   DecisionLog* log,
                   PeerConfigHooks hooks);
  ~PeerConfigReader();
  PeerConfigReader(const PeerConfigReader&) = delete;
  PeerConfigReader& operator=(const PeerConfigReader&) = delete;

  // A peer has the version in force.
  // @param peer where it answers AnswerPeerConfig().
  void OnPeerVersion(const boost::asio::ip::tcp::endpoint& peer,
                     int64_t version);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_PEER_CONFIG_H_
