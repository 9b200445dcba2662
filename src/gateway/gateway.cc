#include "src/gateway/gateway.h"

#include <unistd.h>

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <string>
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
#include "src/gateway/listen_retry.h"
#include "src/gateway/origin_log.h"
#include "src/gateway/peer_config.h"
#include "src/gateway/peers.h"
#include "src/gateway/settings_reload.h"
#include "src/gateway/take_up.h"
#include "src/policy/descriptor_plan.h"
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

// A load balancer that probes every second and needs two failures sends no new
// connections after this time.
constexpr Millis kAcceptWhileStopping = Millis(3'000);
// Parts of the grace time that are reserved for the last responses and the exit
// of the process.
constexpr Millis kLastResponsesTime = Millis(200);
constexpr Millis kExitTime = Millis(100);
constexpr Millis kStopCheckInterval = Millis(20);
// Interval for updating the load shedding and the shares of rates.
constexpr Millis kMaintenanceInterval = Millis(200);
constexpr double kPercent = 100;
constexpr double kMillisPerSecond = 1'000;
// Keys expire this long before the bound, because a send takes time, and a read
// of the log confirms only what was accepted before the read.
constexpr Millis kRevokeMargin = Millis(600);
// The table for a final rejection must be younger than the bound by this
// margin.
constexpr Millis kDenialMargin = Millis(300);
// One Mbit/s in bytes per millisecond.
constexpr double kBytesPerMsPerMbps = 125;
constexpr double kKbpsPerMbps = 1'000;
constexpr double kBytesPerMb = 1e6;
// Share of the memory that requests and responses may use; sockets, tables,
// logs and the program itself need the rest.
constexpr double kBufferShare = 0.4;
// Assumed number of gateways that share the retry budget while no peers are
// known.
constexpr int kInitialMembers = 10;
// A gateway that can't serve yet accepts no callers, who use others at once.
// Without a configuration for this long, it tells them when to come back.
constexpr Millis kMaxListenDelay = Millis(3'000);
// Peers that serve callers answer within this time. One may have a newer
// configuration than a log that was restored from a copy.
constexpr Millis kMaxPeerDelay = Millis(500);
constexpr char kCallersListener[] = "callers";

// @return the number as callers write the id of a prompt part.
std::string FormatHex(uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%" PRIx64, number);
  return text;
}

std::string FormatRate(double per_second) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", per_second);
  return text;
}

}  // namespace

class Gateway::Impl {
 public:
  explicit Impl(GatewayParts parts)
      : settings_(std::move(parts.settings_)),
        descriptors_(policy::PlanDescriptors(settings_.max_descriptors_)),
        buffers_(Bytes(static_cast<int64_t>(settings_.memory_mb_ * kBytesPerMb *
                                            kBufferShare))),
        header_codec_(std::move(parts.header_codec_)),
        log_(STDOUT_FILENO, Clock::Wall()),
        upstreams_(io_, boot_, settings_.zone_),
        admission_(io_, boot_),
        link_budget_(settings_.link_mbps_ * kBytesPerMsPerMbps),
        zone_hash_(
            static_cast<uint32_t>(XXH3_64bits(settings_.zone_.value().data(),
                                              settings_.zone_.value().size()))),
        link_kbps_(static_cast<int64_t>(settings_.link_mbps_ * kKbpsPerMbps)),
        shedding_(link_kbps_),
        retry_budget_(settings_.retries_),
        context_{
            io_,
            boot_,
            header_codec_,
            state_,
            FreshnessLimits{settings_.max_revocation_delay_ - kRevokeMargin,
                            settings_.max_config_delay_ - kDenialMargin},
            upstreams_,
            admission_,
            link_budget_,
            retry_budget_,
            quarantine_,
            part_quarantine_,
            metrics_,
            log_,
            [this] { BroadcastSuspects(); }},
        control_(
            control_io_,
            boot_,
            parts.make_sources_(control_io_),
            MakeControlOptions(settings_.max_drain_delay_,
                               settings_.max_config_delay_),
            &state_,
            &log_,
            [this] { boost::asio::post(io_, [this] { OnControlChange(); }); }),
        callers_(io_, CallerSessionHooks(), descriptors_.callers_),
        probes_(io_, ProbeHooks(), descriptors_.probes_),
        operators_(io_, ProbeHooks(), descriptors_.probes_),
        peer_calls_(io_, PeerCallHooks(), descriptors_.probes_),
        listen_retry_(io_, &log_),
        signals_(io_, SIGTERM, SIGINT, SIGHUP),
        listen_timer_(io_),
        maintenance_timer_(io_),
        stop_timer_(io_),
        peer_config_(io_, boot_, &log_, MakePeerConfigHooks()),
        reload_(io_,
                settings_,
                MakeReloadHooks(std::move(parts.reload_)),
                &log_) {
    context_.buffers_ = &buffers_;
    if (parts.make_origin_store_) {
      origin_log_ = std::make_unique<OriginLog>(
          io_, boot_, parts.make_origin_store_(io_), &context_.origins_,
          [this] { return state_.UpstreamsAge(boot_.Now()); }, &metrics_,
          &log_);
      context_.origin_log_ = origin_log_.get();
    }
    buffers_.SetGiveUpHook([this](policy::BufferUse use, size_t size) {
      OnBufferGivenUp(use, size);
    });
    retry_budget_.SetMembers(kInitialMembers);
    upstreams_.SetMaxConnections(descriptors_.upstreams_);
    part_quarantine_.SetChangeHook(
        [this](const policy::SuspectParts& parts) { OnPartChange(parts); });
    upstreams_.SetPoolHook(
        [this](const PoolChange& change) { OnPoolChange(change); });
    upstreams_.SetVersionHook([this](const policy::StreamOrigin& origin) {
      return UseOfVersion(origin);
    });
    upstreams_.SetRateHook(
        [this](const RateChange& change) { OnRateChange(change); });
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
                                      static_cast<int64_t>(sessions_cut_)));
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
    ScheduleMaintenance();
    reload_.Start();
    Status status = ListenForCallersLater();
    if (status.ok()) {
      status = Listen("ready", settings_.listen_ready_, probes_);
    }
    if (status.ok() && !settings_.listen_operators_.empty()) {
      status = Listen("operators", settings_.listen_operators_, operators_);
    }
    if (status.ok() && !settings_.listen_peers_.empty()) {
      status = ListenForPeers();
    }
    return status;
  }

  // @return an error if the address is malformed.
  Status Listen(const char* name,
                const std::string& address,
                web::Listener& listener) {
    const Result<tcp::endpoint> endpoint = web::ParseEndpoint(address);
    if (!endpoint.ok()) {
      return endpoint.error();
    }
    listen_retry_.Add(name, address, [&listener, at = endpoint.value()] {
      return listener.Start(at);
    });
    return Done{};
  }

  // @return an error if the address is malformed.
  Status ListenForCallersLater() {
    const Result<tcp::endpoint> endpoint =
        web::ParseEndpoint(settings_.listen_callers_);
    if (!endpoint.ok()) {
      return endpoint.error();
    }
    callers_address_ = endpoint.value();
    listen_timer_.expires_after(ToChrono(kMaxListenDelay));
    listen_timer_.async_wait([this](const error_code& error) {
      if (!error) {
        ListenForCallers();
      }
    });
    return Done{};
  }

  void ListenForCallers() {
    if (!listens_for_callers_ && !stopping_) {
      listens_for_callers_ = true;
      listen_timer_.cancel();
      listen_retry_.Add(kCallersListener, settings_.listen_callers_,
                        [this] { return callers_.Start(callers_address_); });
    }
  }

  // @return an error if the address is malformed.
  Status ListenForPeers() {
    const Result<tcp::endpoint> own =
        web::ParseEndpoint(settings_.listen_peers_);
    if (!own.ok()) {
      return own.error();
    }
    const uint16_t port = own.value().port();
    const udp::endpoint address(own.value().address(), port);
    const std::vector<udp::endpoint> seeds = SeedPeers(port);
    expects_peers_ = std::any_of(
        seeds.begin(), seeds.end(),
        [&address](const udp::endpoint& seed) { return seed != address; });
    upstreams_.SetMembers(
        policy::GatewayMembers(MemberId(address), expects_peers_, boot_.Now()));
    peers_ =
        std::make_unique<Peers>(io_, boot_, address, seeds, MakePeerHooks());
    listen_retry_.Add("peers", settings_.listen_peers_, [this] {
      peers_asked_at_ = boot_.Now();
      return peers_->Start();
    });
    listen_retry_.Add(
        "peer calls", settings_.listen_peers_,
        [this, at = own.value()] { return peer_calls_.Start(at); });
    return Done{};
  }

  // All gateways listen for datagrams on the same port; the ports in the
  // settings belong to other listeners.
  std::vector<udp::endpoint> SeedPeers(uint16_t port) const {
    std::vector<udp::endpoint> seeds;
    for (const std::string& text : settings_.seed_peers_) {
      const Result<tcp::endpoint> endpoint = web::ParseEndpoint(text);
      if (endpoint.ok()) {
        seeds.emplace_back(endpoint.value().address(), port);
      }
    }
    return seeds;
  }

  PeerHooks MakePeerHooks() {
    PeerHooks hooks;
    hooks.own_status_ = [this] {
      return PeerStatus{zone_hash_, link_kbps_, shedding_.is_shedding()};
    };
    hooks.own_loads_ = [this] { return upstreams_.OwnLoads(); };
    hooks.suspects_ = [this](size_t limit) {
      return quarantine_.Records(boot_.Now(), limit);
    };
    hooks.on_loads_ = [this](const std::string& peer, LoadReport loads) {
      upstreams_.ApplyPeerLoads(peer, std::move(loads));
      admission_.RunPassSoon();
    };
    hooks.recent_prompts_ = [this] { return upstreams_.RecentPrompts(); };
    hooks.on_prompts_ = [this](const std::vector<SentPrompt>& prompts) {
      upstreams_.ApplyPeerPrompts(prompts);
    };
    hooks.on_sent_ = [this](Bytes bytes) {
      link_budget_.RecordSent(bytes, boot_.Now());
    };
    hooks.on_received_ = [this](Bytes bytes) {
      link_budget_.RecordReceived(bytes, boot_.Now());
    };
    hooks.on_suspect_ = [this](const policy::CrashRecord& record) {
      return quarantine_.Merge(record, boot_.Now());
    };
    hooks.suspect_parts_ = [this](size_t limit) {
      return part_quarantine_.Suspects(boot_.Now(), limit);
    };
    hooks.on_suspect_parts_ = [this](const policy::SuspectParts& parts) {
      part_quarantine_.Merge(parts, boot_.Now());
    };
    hooks.rates_ = [this] { return upstreams_.RateNotices(); };
    hooks.on_rates_ = [this](const std::vector<policy::RateNotice>& notices) {
      upstreams_.ApplyPeerRates(notices);
    };
    hooks.versions_ = [this] {
      return context_.origins_.MixedVersions(boot_.Now());
    };
    hooks.origins_ = [this] {
      return context_.origins_.RecentRecords(boot_.Now());
    };
    hooks.on_versions_ = [this](const policy::VersionSets& versions) {
      context_.origins_.OnPeerVersions(versions, boot_.Now());
    };
    hooks.on_origin_ = [this](const policy::StreamRecord& record) {
      context_.origins_.Merge(record, boot_.Now());
    };
    hooks.on_peer_seen_ = [this](uint64_t peer) {
      upstreams_.OnPeerSeen(peer);
    };
    hooks.config_version_ = [this] {
      return listens_for_callers_ ? state_.Version() : 0;
    };
    hooks.on_config_version_ = [this](const udp::endpoint& peer,
                                      int64_t version) {
      OnPeerVersion(peer, version);
    };
    hooks.on_member_count_ = [this](int members) {
      // Without known peers, this gateway may be partitioned rather than alone.
      retry_budget_.SetMembers(members > 1 ? members : kInitialMembers);
      metrics_.Set("bergamot_gateway_members", "", members);
    };
    return hooks;
  }

  void OnPeerVersion(const udp::endpoint& peer, int64_t version) {
    if (version > state_.peer_version_) {
      state_.peer_version_ = version;
    }
    peer_config_.OnPeerVersion(tcp::endpoint(peer.address(), peer.port()),
                               version);
    ListenIfServing();
  }

  PeerConfigHooks MakePeerConfigHooks() {
    PeerConfigHooks hooks;
    hooks.own_version_ = [this] { return state_.Version(); };
    hooks.on_config_ = [this](std::string document, Millis as_of) {
      boost::asio::post(control_io_,
                        [this, document = std::move(document), as_of] {
                          control_.OfferPeerConfig(document, as_of);
                        });
    };
    return hooks;
  }

  web::SessionHooks PeerCallHooks() {
    web::SessionHooks hooks = ProbeHooks();
    hooks.on_request_ = [this](
                            const web::IncomingRequest& call,
                            const std::shared_ptr<web::Responder>& responder) {
      AnswerPeerConfig(state_, boot_.Now(), call.target_, *responder);
      return web::CallerHooks();
    };
    return hooks;
  }

  // Told at once, as each further request with the part may take down an
  // upstream.
  void OnPartChange(const policy::SuspectParts& suspects) {
    std::string parts;
    for (const uint64_t part : suspects.parts_) {
      parts += (parts.empty() ? "" : ",") + FormatHex(part);
    }
    const char* state = suspects.is_blocked()    ? "blocked"
                        : suspects.crashes_ == 0 ? "answered"
                                                 : "suspect";
    log_.Write(LogLine("prompt_parts")
                   .Add("parts", parts)
                   .Add("state", state)
                   .Add("expires_in_ms", suspects.expires_in_.count()));
    metrics_.Add("bergamot_gateway_prompt_part_changes", state);
    BroadcastSuspects();
  }

  void OnPoolChange(const PoolChange& change) {
    log_.Write(
        LogLine("engines_reserved")
            .Add("group", change.group_.value())
            .Add("engines", int64_t{change.size_})
            .Add("of", int64_t{change.demand_.engines_})
            .Add("short_running", int64_t{change.demand_.running_})
            .Add("short_tokens_per_s",
                 static_cast<int64_t>(change.demand_.tokens_per_s_))
            .Add("engine_tokens_per_s",
                 static_cast<int64_t>(change.demand_.engine_tokens_per_ms_ *
                                      kMillisPerSecond)));
    metrics_.Set("bergamot_gateway_reserved_engines", change.group_.value(),
                 change.size_);
  }

  void OnRateChange(const RateChange& change) {
    log_.Write(LogLine("upstream_rate_limit")
                   .Add("upstream", change.upstream_.id_.value())
                   .Add("started_at", change.upstream_.started_at_)
                   .Add("per_second", FormatRate(change.per_second_))
                   .Add("own_per_second", FormatRate(change.share_.per_second_))
                   .Add("holders", int64_t{change.share_.holders_})
                   .Add("members", int64_t{change.members_}));
    metrics_.Add("bergamot_gateway_rate_limit_changes");
  }

  void OnBufferGivenUp(policy::BufferUse use, size_t size) {
    metrics_.Add("bergamot_gateway_buffers_given_up",
                 policy::BufferUseName(use));
    log_.Write(LogLine("buffer_given_up")
                   .Add("use", policy::BufferUseName(use))
                   .Add("bytes", static_cast<int64_t>(size))
                   .Add("held_bytes", static_cast<int64_t>(buffers_.held()))
                   .Add("limit_bytes", buffers_.limit().count()));
  }

  void BroadcastSuspects() {
    if (peers_ != nullptr) {
      peers_->SendUpdateSoon();
    }
  }

  void OnControlChange() {
    const auto table = state_.table_.Read();
    if (table != nullptr) {
      for (const route::Service& service : table->services()) {
        upstreams_.SetCacheCapacity(service.name_, service.kv_capacity_);
      }
    }
    const auto upstreams = state_.upstreams_.Read();
    if (upstreams != nullptr) {
      UpdateVersions(*upstreams);
      upstreams_.Update(*upstreams);
    }
    ListenIfServing();
  }

  // While the log of origins doesn't answer, streams begin at any version.
  VersionUse UseOfVersion(const policy::StreamOrigin& origin) const {
    if (context_.origins_.IsSettled(origin, boot_.Now())) {
      return VersionUse::kPreferred;
    }
    const bool may_begin = origin_log_ == nullptr || origin_log_->is_lost() ||
                           context_.origins_.IsStored(origin);
    return may_begin ? VersionUse::kIfNeeded : VersionUse::kNone;
  }

  void UpdateVersions(const std::vector<route::UpstreamEntry>& upstreams) {
    policy::VersionSets versions;
    for (const route::UpstreamEntry& upstream : upstreams) {
      versions[upstream.group_].insert(upstream.version_);
    }
    context_.origins_.OnListed(versions, boot_.Now());
    if (origin_log_ != nullptr) {
      origin_log_->Update();
    }
  }

  // Listens for callers once all is known that requests need. The newest
  // configuration may be that of a peer.
  void ListenIfServing() {
    if (listens_for_callers_) {
      return;
    }
    const bool awaits_peers = expects_peers_ && state_.peer_version_ == 0 &&
                              (listen_retry_.IsPending("peers") ||
                               boot_.Now() - peers_asked_at_ < kMaxPeerDelay);
    if (!awaits_peers && state_.table_.Read() != nullptr &&
        state_.upstreams_.Read() != nullptr &&
        state_.Version() >= state_.peer_version_) {
      ListenForCallers();
    }
  }

  web::SessionLimits Limits() const {
    const auto table = state_.table_.Read();
    return MakeSessionLimits(table == nullptr ? route::CallerLimits()
                                              : table->limits());
  }

  web::SessionHooks CallerSessionHooks() {
    web::SessionHooks hooks;
    hooks.limits_ = [this] { return Limits(); };
    hooks.on_request_ = [this](web::IncomingRequest call,
                               std::shared_ptr<web::Responder> responder) {
      return StartExchange(context_, std::move(call), std::move(responder));
    };
    hooks.on_refused_ = [this](int status, const std::string& reason) {
      metrics_.Add("bergamot_gateway_malformed", std::to_string(status));
      log_.Write(LogLine("caller_refused")
                     .Add("status", status)
                     .Add("reason", reason));
    };
    // While the gateway sheds load, closed connections make callers use other
    // gateways. At the limit of sessions, they let callers in that wait.
    hooks.stopping_ = [this] {
      return stopping_ || shedding_.is_shedding() ||
             callers_.sessions() >= descriptors_.callers_;
    };
    hooks.buffers_ = &buffers_;
    return hooks;
  }

  web::SessionHooks ProbeHooks() {
    web::SessionHooks hooks;
    hooks.limits_ = [] { return MakeSessionLimits(route::CallerLimits()); };
    hooks.on_request_ = [this](
                            const web::IncomingRequest& call,
                            const std::shared_ptr<web::Responder>& responder) {
      HandleProbe(call, *responder);
      return web::CallerHooks();
    };
    hooks.on_refused_ = [](int /*status*/, const std::string& /*reason*/) {};
    hooks.stopping_ = [this] { return stopping_; };
    return hooks;
  }

  void HandleProbe(const web::IncomingRequest& call,
                   web::Responder& responder) {
    web::HeaderList headers;
    headers.Add("Content-Type", "text/plain");
    if (call.target_ == "/ready") {
      const std::string reason = NotReadyReason();
      LogReadiness(reason);
      responder.Reply(reason.empty() ? kStatusOk : kStatusUnavailable, headers,
                      reason.empty() ? "ready\n" : reason + "\n");
    } else if (call.target_ == "/metrics") {
      metrics_.Set("bergamot_gateway_sessions", "",
                   static_cast<double>(callers_.sessions()));
      metrics_.Set("bergamot_gateway_connections_opened", "",
                   static_cast<double>(upstreams_.connections_opened()));
      metrics_.Set("bergamot_gateway_buffered_bytes", "",
                   static_cast<double>(buffers_.held()));
      metrics_.Set("bergamot_gateway_log_lines_dropped", "",
                   static_cast<double>(log_.dropped()));
      responder.Reply(kStatusOk, headers, metrics_.Render());
    } else {
      responder.Reply(kStatusNotFound, headers, "not found\n");
    }
  }

  // @return why new callers should use another gateway; empty if ready.
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
    if (!listens_for_callers_) {
      return "not listening for callers yet";
    }
    if (listen_retry_.IsPending(kCallersListener)) {
      return "address for callers is in use";
    }
    if (state_.TableAge(boot_.Now()) >
        context_.freshness_limits_.max_age_for_keys_) {
      return "configuration not confirmed lately";
    }
    if (shedding_.is_shedding()) {
      return "link busy";
    }
    return {};
  }

  void LogReadiness(const std::string& reason) {
    if (reason != not_ready_reason_ || !readiness_logged_) {
      readiness_logged_ = true;
      not_ready_reason_ = reason;
      log_.Write(
          LogLine(reason.empty() ? "ready" : "not_ready")
              .Add("reason", reason)
              .Add("config_age_ms", state_.TableAge(boot_.Now()).count()));
    }
  }

  void ScheduleMaintenance() {
    maintenance_timer_.expires_after(ToChrono(kMaintenanceInterval));
    maintenance_timer_.async_wait([this](const error_code& error) {
      if (!error) {
        ListenIfServing();
        UpdateShedding();
        upstreams_.UpdateRateShares();
        upstreams_.CloseExpiredConnections();
        ConfirmOrigins(context_);
        if (callers_.sessions() >= descriptors_.callers_) {
          callers_.CloseIdle();
        }
        ReportControlState();
        ScheduleMaintenance();
      }
    });
  }

  void ReportControlState() {
    metrics_.Set("bergamot_gateway_upstreams_lapsed", "",
                 state_.lapsed_upstreams_);
    metrics_.Set("bergamot_gateway_log_restores", "", state_.log_restores_);
    metrics_.Set("bergamot_gateway_config_version", "",
                 static_cast<double>(state_.Version()));
    metrics_.Set("bergamot_gateway_config_peer_version", "",
                 static_cast<double>(state_.peer_version_));
    metrics_.Set("bergamot_gateway_config_age_ms", "",
                 static_cast<double>(state_.TableAge(boot_.Now()).count()));
    metrics_.Set("bergamot_gateway_streams_remembered", "",
                 static_cast<double>(context_.origins_.size()));
    metrics_.Set("bergamot_gateway_upstreams_rate_limited", "",
                 upstreams_.rate_limited());
    metrics_.Set("bergamot_gateway_upstreams_age_ms", "",
                 static_cast<double>(state_.UpstreamsAge(boot_.Now()).count()));
  }

  void UpdateShedding() {
    if (peers_ == nullptr) {
      return;
    }
    const Millis now = boot_.Now();
    const double busy_share = link_budget_.GetUtilization(now);
    const policy::PeerLinkSpeeds other_links = peers_->LinksInZone(zone_hash_);
    const bool was_shedding = shedding_.is_shedding();
    const bool is_shedding = shedding_.Update(busy_share, other_links, now);
    metrics_.Set("bergamot_gateway_link_busy_share", "", busy_share);
    if (is_shedding != was_shedding) {
      log_.Write(LogLine(is_shedding ? "sheds_callers" : "takes_callers")
                     .Add("link_busy_percent",
                          static_cast<int64_t>(busy_share * kPercent))
                     .Add("link_kbps", link_kbps_)
                     .Add("others_ready_kbps", other_links.ready_kbps_)
                     .Add("others_kbps", other_links.all_kbps_));
      peers_->SendUpdateSoon();
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
      ApplyReloadedSettings(settings);
    };
    return hooks;
  }

  // Applies the fields that HaveSameReloadableSettings() compares.
  void ApplyReloadedSettings(const GatewaySettings& settings) {
    settings_.seed_peers_ = settings.seed_peers_;
    settings_.retries_ = settings.retries_;
    settings_.stop_grace_ = settings.stop_grace_;
    settings_.max_revocation_delay_ = settings.max_revocation_delay_;
    settings_.max_config_delay_ = settings.max_config_delay_;
    retry_budget_.SetBounds(settings_.retries_);
    context_.freshness_limits_ =
        FreshnessLimits{settings_.max_revocation_delay_ - kRevokeMargin,
                        settings_.max_config_delay_ - kDenialMargin};
    if (peers_ != nullptr) {
      const Result<tcp::endpoint> own =
          web::ParseEndpoint(settings_.listen_peers_);
      peers_->SetSeedPeers(SeedPeers(own.value().port()));
    }
  }

  void BeginStop(const char* reason) {
    if (stopping_) {
      return;
    }
    stopping_ = true;
    listen_retry_.Stop();
    listen_timer_.cancel();
    stop_began_ = boot_.Now();
    log_.Write(LogLine("stopping")
                   .Add("reason", reason)
                   .Add("sessions", static_cast<int64_t>(callers_.sessions())));
    CheckStop();
  }

  void CheckStop() {
    const Millis since = boot_.Now() - stop_began_;
    const Millis exit = settings_.stop_grace_ - kExitTime;
    const Millis ends = exit - kLastResponsesTime;
    // A short grace time leaves no time for long requests that come later.
    const Millis listening = std::min(kAcceptWhileStopping, ends / 2);
    context_.stop_.Set(stop_began_ + listening, stop_began_ + ends);
    const bool is_ending = since >= ends;
    if (since >= kAcceptWhileStopping || is_ending) {
      callers_.StopAccepting();
      callers_.CloseIdle();
    }
    // After a pause of the process, the responses are still written first.
    const bool may_exit = ending_ && since >= exit;
    if (is_ending) {
      ending_ = true;
      EndAllExchanges(context_);
      callers_.RejectUnread();
    }
    const bool idle = (since >= kAcceptWhileStopping || is_ending) &&
                      callers_.sessions() == 0;
    if (idle || may_exit) {
      sessions_cut_ = callers_.sessions();
      io_.stop();
      return;
    }
    stop_timer_.expires_after(ToChrono(kStopCheckInterval));
    stop_timer_.async_wait([this](const error_code& error) {
      if (!error) {
        CheckStop();
      }
    });
  }

  GatewaySettings settings_;
  const policy::DescriptorPlan descriptors_;
  // Exchanges and sessions are held by the handlers of io_ and refer to it.
  policy::BufferBudget buffers_;
  const HeaderCodec header_codec_;
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
  tcp::endpoint callers_address_;
  Millis peers_asked_at_;
  bool expects_peers_ = false;
  bool listens_for_callers_ = false;
  bool stopping_ = false;
  bool ending_ = false;  // the last responses are written
  Millis stop_began_;
  size_t sessions_cut_ = 0;
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
