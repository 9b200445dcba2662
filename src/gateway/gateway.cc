#include "src/gateway/gateway.h"

#include <unistd.h>

#include <algorithm>
#include <thread>
#include <utility>
#include <vector>

#include <xxhash.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/core/chrono_time.h"
#include "src/gateway/exchange.h"
#include "src/gateway/peers.h"
#include "src/gateway/settings_reload.h"
#include "src/web/listener.h"

namespace bergamotscale::gateway {
namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using boost::system::error_code;
using WorkGuard =
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;

// A balancer that asks every second and needs two misses has stopped sending
// new connections by then.
constexpr Millis kAcceptWhileStopping = Millis(3'000);
// Left of the grace for the end of the process itself.
constexpr Millis kStopMargin = Millis(300);
constexpr Millis kStopCheck = Millis(20);
// Log lines are written, and the link's load is looked at, this often.
constexpr Millis kUpkeepInterval = Millis(200);
constexpr double kPercent = 100;
// Keys are refused this long before the bound: a send takes its time, and a
// read of the log confirms only what was accepted before it was made.
constexpr Millis kRevokeMargin = Millis(600);
// A denial may rest on a table that is younger than the apply time by this.
constexpr Millis kDenialMargin = Millis(300);
// A megabit a second in bytes a millisecond.
constexpr double kBytesPerMsOfMbps = 125;
constexpr double kKbpsOfMbps = 1'000;
// Until peers are heard, the retry budget is shared with so many gateways.
constexpr int kMembersAtStart = 10;
// Descriptors for logs, timers, peers and idle connections to upstreams.
constexpr int kOwnDescriptorShare = 4;
// Sessions of probes and operators.
constexpr size_t kMaxProbeSessions = 32;

}  // namespace

class Gateway::Impl {
 public:
  explicit Impl(GatewayParts parts)
      : settings_(std::move(parts.settings_)),
        dialect_(std::move(parts.dialect_)),
        log_(STDOUT_FILENO, Clock::Wall()),
        upstreams_(io_, boot_, settings_.zone_),
        room_(io_, boot_),
        link_(settings_.link_mbps_ * kBytesPerMsOfMbps),
        zone_hash_(
            static_cast<uint32_t>(XXH3_64bits(settings_.zone_.value().data(),
                                              settings_.zone_.value().size()))),
        link_kbps_(static_cast<int64_t>(settings_.link_mbps_ * kKbpsOfMbps)),
        shedding_(link_kbps_),
        retries_(settings_.retries_),
        context_{io_,
                 boot_,
                 dialect_,
                 state_,
                 FreshnessBounds{settings_.revoke_ - kRevokeMargin,
                                 settings_.config_apply_ - kDenialMargin},
                 upstreams_,
                 room_,
                 link_,
                 retries_,
                 quarantine_,
                 metrics_,
                 log_,
                 [this] { SpreadSuspicion(); }},
        control_(
            control_io_,
            boot_,
            parts.make_sources_(control_io_),
            ControlOptions(),
            &state_,
            &log_,
            [this] { boost::asio::post(io_, [this] { OnControlChange(); }); }),
        callers_(io_, CallerSessionHooks(), MaxCallers()),
        probes_(io_, ProbeHooks(), kMaxProbeSessions),
        operators_(io_, ProbeHooks(), kMaxProbeSessions),
        signals_(io_, SIGTERM, SIGINT, SIGHUP),
        upkeep_timer_(io_),
        stop_timer_(io_),
        reload_(io_,
                settings_,
                MakeReloadHooks(std::move(parts.reload_)),
                &log_) {
    retries_.SetMembers(kMembersAtStart);
  }

  ~Impl() {
    control_io_.stop();
    if (control_thread_.joinable()) {
      control_thread_.join();
    }
  }

  Status Run() {
    Status started = Start();
    if (!started.ok()) {
      return started;
    }
    control_thread_ = std::thread([this] {
      control_.Start();
      control_io_.run();
    });
    io_.run();
    log_.Write(LogLine("stopped").Add("sessions_cut",
                                      static_cast<int64_t>(cut_at_end_)));
    log_.Flush();
    return Done{};
  }

  void Stop() {
    boost::asio::post(io_, [this] { BeginStop("request"); });
  }

 private:
  Status Start() {
    log_.Write(LogLine("start")
                   .Add("instance", settings_.instance_)
                   .Add("zone", settings_.zone_.value())
                   .Add("version", BERGAMOTSCALE_VERSION)
                   .Add("callers", settings_.listen_callers_)
                   .Add("log", settings_.log_address_));
    AwaitSignal();
    ScheduleUpkeep();
    reload_.Start();
    Status status = Listen(callers_, settings_.listen_callers_);
    if (status.ok()) {
      status = Listen(probes_, settings_.listen_ready_);
    }
    if (status.ok() && !settings_.listen_operators_.empty()) {
      status = Listen(operators_, settings_.listen_operators_);
    }
    if (status.ok() && !settings_.listen_peers_.empty()) {
      status = StartPeers();
    }
    return status;
  }

  static Status Listen(web::Listener& listener, const std::string& address) {
    const Result<tcp::endpoint> endpoint = web::ParseEndpoint(address);
    return endpoint.ok() ? listener.Start(endpoint.value())
                         : Status(endpoint.error());
  }

  Status StartPeers() {
    const Result<tcp::endpoint> own =
        web::ParseEndpoint(settings_.listen_peers_);
    if (!own.ok()) {
      return own.error();
    }
    const uint16_t port = own.value().port();
    peers_ = std::make_unique<Peers>(io_, boot_,
                                     udp::endpoint(own.value().address(), port),
                                     FirstPeers(port), MakePeerHooks());
    return peers_->Start();
  }

  // Peers listen on the same port; the settings name other ports of theirs.
  std::vector<udp::endpoint> FirstPeers(uint16_t port) const {
    std::vector<udp::endpoint> first;
    for (const std::string& text : settings_.first_peers_) {
      const Result<tcp::endpoint> endpoint = web::ParseEndpoint(text);
      if (endpoint.ok()) {
        first.emplace_back(endpoint.value().address(), port);
      }
    }
    return first;
  }

  PeerHooks MakePeerHooks() {
    PeerHooks hooks;
    hooks.own_place_ = [this] {
      return PeerPlace{zone_hash_, link_kbps_, shedding_.sheds()};
    };
    hooks.own_loads_ = [this] { return upstreams_.OwnLoads(); };
    hooks.suspicions_ = [this](size_t limit) {
      return quarantine_.Records(boot_.Now(), limit);
    };
    hooks.on_loads_ = [this](const std::string& peer,
                             std::vector<InstanceLoad> loads) {
      upstreams_.TakePeerLoads(peer, std::move(loads));
      room_.Kick();
    };
    hooks.recent_prompts_ = [this] { return upstreams_.RecentPrompts(); };
    hooks.on_prompts_ = [this](const std::vector<SentPrompt>& prompts) {
      upstreams_.TakePeerPrompts(prompts);
    };
    hooks.on_sent_ = [this](Bytes bytes) { link_.Sent(bytes, boot_.Now()); };
    hooks.on_received_ = [this](Bytes bytes) {
      link_.Received(bytes, boot_.Now());
    };
    hooks.on_suspicion_ = [this](const policy::SuspicionRecord& record) {
      return quarantine_.Merge(record, boot_.Now());
    };
    hooks.on_members_ = [this](int members) {
      // A gateway that hears nobody may be cut off, not alone.
      retries_.SetMembers(members > 1 ? members : kMembersAtStart);
      metrics_.Set("bergamot_gateway_members", "", members);
    };
    return hooks;
  }

  void SpreadSuspicion() {
    if (peers_ != nullptr) {
      peers_->SendNews();
    }
  }

  void OnControlChange() {
    const auto table = state_.table_.Read();
    if (table != nullptr) {
      for (const route::Service& service : table->services()) {
        upstreams_.SetMemory(service.name_, service.memory_);
      }
    }
    const auto upstreams = state_.upstreams_.Read();
    if (upstreams != nullptr) {
      upstreams_.Update(*upstreams);
    }
  }

  size_t MaxCallers() const {
    return static_cast<size_t>(settings_.max_descriptors_ -
                               settings_.max_descriptors_ /
                                   kOwnDescriptorShare);
  }

  web::SessionLimits Limits() const {
    const auto table = state_.table_.Read();
    return SessionLimitsOf(table == nullptr ? route::CallerLimits()
                                            : table->limits());
  }

  web::SessionHooks CallerSessionHooks() {
    web::SessionHooks hooks;
    hooks.limits_ = [this] { return Limits(); };
    hooks.on_call_ = [this](web::IncomingCall call,
                            std::shared_ptr<web::Responder> responder) {
      return StartExchange(context_, std::move(call), std::move(responder));
    };
    hooks.on_refused_ = [this](int status, const std::string& reason) {
      metrics_.Add("bergamot_gateway_malformed", std::to_string(status));
      log_.Write(LogLine("caller_refused")
                     .Add("status", status)
                     .Add("reason", reason));
    };
    // Callers whose connections are closed are sent elsewhere.
    hooks.stopping_ = [this] { return stopping_ || shedding_.sheds(); };
    return hooks;
  }

  web::SessionHooks ProbeHooks() {
    web::SessionHooks hooks;
    hooks.limits_ = [] { return SessionLimitsOf(route::CallerLimits()); };
    hooks.on_call_ = [this](const web::IncomingCall& call,
                            const std::shared_ptr<web::Responder>& responder) {
      AnswerProbe(call, *responder);
      return web::CallerHooks();
    };
    hooks.on_refused_ = [](int /*status*/, const std::string& /*reason*/) {};
    hooks.stopping_ = [this] { return stopping_; };
    return hooks;
  }

  void AnswerProbe(const web::IncomingCall& call, web::Responder& responder) {
    web::HeaderList headers;
    headers.Add("Content-Type", "text/plain");
    if (call.target_ == "/ready") {
      const std::string reason = NotReadyReason();
      NoteReadiness(reason);
      responder.Reply(reason.empty() ? kStatusOk : kStatusUnavailable, headers,
                      reason.empty() ? "ready\n" : reason + "\n");
    } else if (call.target_ == "/metrics") {
      metrics_.Set("bergamot_gateway_sessions", "",
                   static_cast<double>(callers_.sessions()));
      metrics_.Set("bergamot_gateway_connections_opened", "",
                   static_cast<double>(upstreams_.connections_opened()));
      metrics_.Set("bergamot_gateway_log_lines_dropped", "",
                   static_cast<double>(log_.dropped()));
      responder.Reply(kStatusOk, headers, metrics_.Render());
    } else {
      responder.Reply(kStatusNotFound, headers, "not found\n");
    }
  }

  // @return why new callers should go elsewhere; empty if they may come.
  std::string NotReadyReason() const {
    if (stopping_) {
      return "stopping";
    }
    if (state_.table_.Read() == nullptr) {
      return "no configuration yet";
    }
    if (state_.upstreams_.Read() == nullptr) {
      return "no upstreams known yet";
    }
    if (state_.TableAge(boot_.Now()) > context_.freshness_.key_lease_) {
      return "configuration not confirmed lately";
    }
    if (shedding_.sheds()) {
      return "link busy";
    }
    return {};
  }

  void NoteReadiness(const std::string& reason) {
    if (reason != not_ready_reason_ || !readiness_told_) {
      readiness_told_ = true;
      not_ready_reason_ = reason;
      log_.Write(
          LogLine(reason.empty() ? "ready" : "not_ready")
              .Add("reason", reason)
              .Add("config_age_ms", state_.TableAge(boot_.Now()).count()));
    }
  }

  void ScheduleUpkeep() {
    upkeep_timer_.expires_after(ToChrono(kUpkeepInterval));
    upkeep_timer_.async_wait([this](const error_code& error) {
      if (!error) {
        UpdateShedding();
        log_.Flush();
        ScheduleUpkeep();
      }
    });
  }

  void UpdateShedding() {
    if (peers_ == nullptr) {
      return;
    }
    const Millis now = boot_.Now();
    const double busy_share = link_.BusyShare(now);
    const policy::OtherLinks others = peers_->LinksIn(zone_hash_);
    const bool was = shedding_.sheds();
    const bool sheds = shedding_.Update(busy_share, others, now);
    metrics_.Set("bergamot_gateway_link_busy_share", "", busy_share);
    if (sheds != was) {
      log_.Write(LogLine(sheds ? "sheds_callers" : "takes_callers")
                     .Add("link_busy_percent",
                          static_cast<int64_t>(busy_share * kPercent))
                     .Add("link_kbps", link_kbps_)
                     .Add("others_ready_kbps", others.ready_kbps_)
                     .Add("others_kbps", others.all_kbps_));
      peers_->SendNews();
    }
  }

  void AwaitSignal() {
    signals_.async_wait([this](const error_code& error, int signal) {
      if (error) {
        return;
      }
      if (signal == SIGHUP) {
        reload_.OnSignal();
      } else {
        BeginStop("signal");
      }
      AwaitSignal();
    });
  }

  ReloadHooks MakeReloadHooks(
      std::function<Result<GatewaySettings>()> read_settings) {
    ReloadHooks hooks;
    hooks.read_ = std::move(read_settings);
    hooks.on_change_ = [this](const GatewaySettings& settings) {
      TakeOver(settings);
    };
    return hooks;
  }

  // What SameReloadable() compares.
  void TakeOver(const GatewaySettings& settings) {
    settings_.first_peers_ = settings.first_peers_;
    settings_.retries_ = settings.retries_;
    settings_.stop_grace_ = settings.stop_grace_;
    settings_.revoke_ = settings.revoke_;
    settings_.config_apply_ = settings.config_apply_;
    retries_.SetBounds(settings_.retries_);
    context_.freshness_ =
        FreshnessBounds{settings_.revoke_ - kRevokeMargin,
                        settings_.config_apply_ - kDenialMargin};
    if (peers_ != nullptr) {
      const Result<tcp::endpoint> own =
          web::ParseEndpoint(settings_.listen_peers_);
      peers_->SetFirst(FirstPeers(own.value().port()));
    }
  }

  void BeginStop(const char* reason) {
    if (stopping_) {
      return;
    }
    stopping_ = true;
    stop_began_ = boot_.Now();
    log_.Write(LogLine("stopping")
                   .Add("reason", reason)
                   .Add("sessions", static_cast<int64_t>(callers_.sessions())));
    CheckStop();
  }

  void CheckStop() {
    const Millis since = boot_.Now() - stop_began_;
    if (since >= kAcceptWhileStopping) {
      callers_.StopAccepting();
      callers_.CloseIdle();
    }
    const bool idle = since >= kAcceptWhileStopping && callers_.sessions() == 0;
    if (idle || since >= settings_.stop_grace_ - kStopMargin) {
      cut_at_end_ = callers_.sessions();
      io_.stop();
      return;
    }
    stop_timer_.expires_after(ToChrono(kStopCheck));
    stop_timer_.async_wait([this](const error_code& error) {
      if (!error) {
        CheckStop();
      }
    });
  }

  GatewaySettings settings_;
  const Dialect dialect_;
  const Clock boot_ = Clock::Boot();
  boost::asio::io_context io_{1};
  boost::asio::io_context control_io_{1};
  WorkGuard work_{io_.get_executor()};
  WorkGuard control_work_{control_io_.get_executor()};
  DecisionLog log_;
  metrics::Metrics metrics_;
  ControlState state_;
  UpstreamSet upstreams_;
  RoomQueue room_;
  policy::LinkBudget link_;
  const uint32_t zone_hash_;
  const int64_t link_kbps_;
  policy::CallerShedding shedding_;
  policy::SharedRetryBudget retries_;
  policy::Quarantine quarantine_;
  ExchangeContext context_;
  Control control_;
  web::Listener callers_;
  web::Listener probes_;
  web::Listener operators_;
  std::unique_ptr<Peers> peers_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer upkeep_timer_;
  boost::asio::steady_timer stop_timer_;
  SettingsReload reload_;
  std::thread control_thread_;
  std::string not_ready_reason_;
  bool readiness_told_ = false;
  bool stopping_ = false;
  Millis stop_began_;
  size_t cut_at_end_ = 0;
};

Gateway::Gateway(GatewayParts parts)
    : impl_(std::make_unique<Impl>(std::move(parts))) {}

Gateway::~Gateway() = default;

Status Gateway::Run() {
  return impl_->Run();
}

void Gateway::Stop() {
  impl_->Stop();
}

}  // namespace bergamotscale::gateway
