// The private part of gateway.h. The methods are in the gateway*.cc files, by
// concern.
#ifndef BERGAMOTSCALE_SRC_GATEWAY_GATEWAY_IMPL_H_
#define BERGAMOTSCALE_SRC_GATEWAY_GATEWAY_IMPL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/gateway/duty_runner.h"
#include "src/gateway/exchange.h"
#include "src/gateway/gateway.h"
#include "src/gateway/listen_retry.h"
#include "src/gateway/origin_log.h"
#include "src/gateway/peer_config.h"
#include "src/gateway/peers.h"
#include "src/gateway/settings_reload.h"
#include "src/policy/descriptor_plan.h"
#include "src/web/listener.h"

namespace bergamotscale::gateway {

class Gateway::Impl {
 public:
  explicit Impl(GatewayParts parts);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  Status Run();
  void Stop();

 private:
  using WorkGuard =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  // Assumed number of gateways that share the retry budget while no peers are
  // known.
  static constexpr int kInitialMembers = 10;
  static constexpr char kCallersListener[] = "callers";

  // gateway.cc: start, settings and stop.

  Status Start();
  void AwaitSignal();
  // @return an error if the address is malformed.
  Status Listen(const char* name,
                const std::string& address,
                web::Listener& listener);
  // @return an error if the address is malformed.
  Status ListenForCallersLater();
  void ListenForCallers();
  ReloadHooks MakeReloadHooks(
      std::function<Result<GatewaySettings>()> read_settings);
  // Applies the fields that HaveSameReloadableSettings() compares.
  void ApplyReloadedSettings(const GatewaySettings& settings);
  void BeginStop(const char* reason);
  void CheckStop();

  // gateway_sessions.cc: callers, and readiness and metrics.

  web::SessionLimits Limits() const;
  web::SessionHooks CallerSessionHooks();
  web::SessionHooks ProbeHooks();
  std::function<void(policy::SessionWait)> GaveWayHook();
  void HandleProbe(const web::IncomingRequest& call, web::Responder& responder);
  // @return why new callers should use another gateway; empty if ready.
  std::string NotReadyReason() const;
  void LogReadiness(const std::string& reason);

  // gateway_peers.cc: what gateways tell each other.

  // @return an error if the address is malformed.
  Status ListenForPeers();
  // All gateways listen for datagrams on the same port; the ports in the
  // settings belong to other listeners.
  std::vector<boost::asio::ip::udp::endpoint> SeedPeers(uint16_t port) const;
  PeerHooks MakePeerHooks();
  void OnPeerVersion(const boost::asio::ip::udp::endpoint& peer,
                     int64_t version);
  PeerConfigHooks MakePeerConfigHooks();
  web::SessionHooks PeerCallHooks();
  void BroadcastSuspects();
  // Starts the duties of the settings, if there are any.
  // @param member identifies this gateway among its peers.
  void StartDuties(uint64_t member);

  // gateway_changes.cc: changes of what is known, and maintenance.

  void OnControlChange();
  // While the log of origins doesn't answer, streams begin at any version.
  VersionUse UseOfVersion(const policy::StreamOrigin& origin) const;
  void UpdateVersions(const std::vector<route::UpstreamEntry>& upstreams);
  // Listens for callers once all is known that requests need. The newest
  // configuration may be that of a peer.
  void ListenIfServing();
  // Told at once, as each further request with the part may take down an
  // upstream.
  void OnPartChange(const policy::SuspectParts& suspects);
  void OnPoolChange(const PoolChange& change);
  void OnRateChange(const RateChange& change);
  void OnBufferGivenUp(policy::BufferUse use, size_t size);
  void ScheduleMaintenance();
  void ReportControlState();
  void UpdateShedding();

  GatewaySettings settings_;
  const policy::DescriptorPlan descriptors_;
  // Exchanges and sessions are held by the handlers of io_ and refer to it.
  policy::BufferBudget buffers_;
  const HeaderCodec header_codec_;
  const std::function<DutyStore(boost::asio::io_context&)> make_duty_store_;
  const std::function<DutyCalls(boost::asio::io_context&)> make_duty_calls_;
  const Clock boot_ = Clock::Boot();
  boost::asio::io_context io_{1};
  boost::asio::io_context control_io_{1};
  WorkGuard work_{io_.get_executor()};
  WorkGuard control_work_{control_io_.get_executor()};
  DecisionLog log_;
  metrics::Metrics metrics_;
  ControlState state_;
  UpstreamSet upstreams_;
  AdmissionScheduler admission_;
  policy::LinkBudget link_budget_;
  const uint32_t zone_hash_;
  const int64_t link_kbps_;
  policy::CallerShedding shedding_;
  policy::SharedRetryBudget retry_budget_;
  policy::Quarantine quarantine_;
  policy::PartQuarantine part_quarantine_;
  ExchangeContext context_;
  Control control_;
  web::Listener callers_;
  web::Listener probes_;
  web::Listener operators_;
  web::Listener peer_calls_;
  std::unique_ptr<DutyRunner> duties_;
  std::unique_ptr<Peers> peers_;
  ListenRetry listen_retry_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer listen_timer_;
  boost::asio::steady_timer maintenance_timer_;
  boost::asio::steady_timer stop_timer_;
  std::unique_ptr<OriginLog> origin_log_;
  PeerConfigReader peer_config_;
  SettingsReloader reload_;
  std::thread control_thread_;
  std::string not_ready_reason_;
  bool readiness_logged_ = false;
  boost::asio::ip::tcp::endpoint callers_address_;
  Millis peers_asked_at_;
  bool expects_peers_ = false;
  bool listens_for_callers_ = false;
  bool stopping_ = false;
  bool ending_ = false;  // the last responses are written
  Millis stop_began_;
  size_t sessions_cut_ = 0;
};

}  // namespace bergamotscale::gateway

#endif  // BERGAMOTSCALE_SRC_GATEWAY_GATEWAY_IMPL_H_
