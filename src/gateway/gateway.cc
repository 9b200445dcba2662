#include "src/gateway/gateway.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include <xxhash.h>
#include <boost/asio/post.hpp>

#include "src/core/chrono_time.h"
#include "src/gateway/gateway_impl.h"

namespace bergamotscale::gateway {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// A load balancer that probes every second and needs two failures sends no new
// connections after this time.
constexpr Millis kAcceptWhileStopping = Millis(3'000);
// Parts of the grace time that are reserved for the last responses and the exit
// of the process.
constexpr Millis kLastResponsesTime = Millis(200);
constexpr Millis kExitTime = Millis(100);
constexpr Millis kStopCheckInterval = Millis(20);
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
// A gateway that can't serve yet accepts no callers, who use others at once.
// Without a configuration for this long, it tells them when to come back.
constexpr Millis kMaxListenDelay = Millis(3'000);
// Connections that the kernel holds for the listeners of probes, operators and
// peers, which send few requests at once.
constexpr int kSmallBacklog = 64;

}  // namespace

Gateway::Impl::Impl(GatewayParts parts)
    : settings_(std::move(parts.settings_)),
      descriptors_(policy::PlanDescriptors(
          settings_.max_descriptors_,
          Bytes(static_cast<int64_t>(settings_.memory_mb_ * kBytesPerMb)),
          web::kMaxSystemBuffer)),
      buffers_(Bytes(static_cast<int64_t>(settings_.memory_mb_ * kBytesPerMb *
                                          kBufferShare))),
      header_codec_(std::move(parts.header_codec_)),
      make_duty_store_(std::move(parts.make_duty_store_)),
      make_duty_calls_(std::move(parts.make_duty_calls_)),
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
      context_{io_,
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
      callers_(io_,
               CallerSessionHooks(),
               descriptors_.callers_,
               descriptors_.caller_backlog_),
      probes_(io_, ProbeHooks(), descriptors_.probes_, kSmallBacklog),
      operators_(io_, ProbeHooks(), descriptors_.probes_, kSmallBacklog),
      peer_calls_(io_, PeerCallHooks(), descriptors_.probes_, kSmallBacklog),
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
        [this] { return state_.UpstreamsAge(boot_.Now()); }, &metrics_, &log_);
    context_.origin_log_ = origin_log_.get();
  }
  buffers_.SetGiveUpHook([this](policy::BufferUse use, size_t size) {
    OnBufferGivenUp(use, size);
  });
  retry_budget_.SetMembers(kInitialMembers);
  upstreams_.SetMaxConnections(descriptors_.upstreams_);
  upstreams_.SetBalancesStaleLoad(settings_.balances_stale_load_);
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

Gateway::Impl::~Impl() {
  control_io_.stop();
  if (control_thread_.joinable()) {
    control_thread_.join();
  }
}

Status Gateway::Impl::Run() {
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

void Gateway::Impl::Stop() {
  boost::asio::post(io_, [this] { BeginStop("request"); });
}

Status Gateway::Impl::Start() {
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
  } else if (status.ok()) {
    StartDuties(0);
  }
  return status;
}

void Gateway::Impl::AwaitSignal() {
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

Status Gateway::Impl::Listen(const char* name,
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

Status Gateway::Impl::ListenForCallersLater() {
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

void Gateway::Impl::ListenForCallers() {
  if (!listens_for_callers_ && !stopping_) {
    listens_for_callers_ = true;
    listen_timer_.cancel();
    listen_retry_.Add(kCallersListener, settings_.listen_callers_,
                      [this] { return callers_.Start(callers_address_); });
  }
}

ReloadHooks Gateway::Impl::MakeReloadHooks(
    std::function<Result<GatewaySettings>()> read_settings) {
  ReloadHooks hooks;
  hooks.read_ = std::move(read_settings);
  hooks.on_change_ = [this](const GatewaySettings& settings) {
    ApplyReloadedSettings(settings);
  };
  return hooks;
}

void Gateway::Impl::ApplyReloadedSettings(const GatewaySettings& settings) {
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

void Gateway::Impl::BeginStop(const char* reason) {
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

void Gateway::Impl::CheckStop() {
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
  const bool idle =
      (since >= kAcceptWhileStopping || is_ending) && callers_.sessions() == 0;
  if (idle || may_exit) {
    sessions_cut_ = callers_.sessions();
    callers_.CutOff();
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
