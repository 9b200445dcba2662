#include "src/sidecar/traffic.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include <glog/logging.h>
#include <boost/asio/post.hpp>

#include "bergamotscale/clock.h"
#include "src/gossip/soft_state.h"
#include "src/link/link.h"
#include "src/policy/demand_table.h"
#include "src/sidecar/orders_feed.h"
#include "src/sidecar/scheduler.h"
#include "src/sidecar/status_hub.h"
#include "src/sidecar/ticker.h"
#include "src/sidecar/upstream_monitor.h"
#include "src/sidecar/work_session.h"

namespace bergamotscale::sidecar {
namespace {

constexpr Millis kTick(5);
constexpr Millis kGossipInterval(1000);
constexpr size_t kMaxGossipVerdicts = 64;
// Silent probes in a row after which the upstream counts as down.
constexpr int kMaxSilentProbes = 2;

// Work that got nothing for this long from an upstream that answers no probe
// either has lost it.
constexpr Millis kSilentWork = Millis(1500);
// Probes must have failed for this long, lest two quick failures decide.
constexpr Millis kSilentProbing = Millis(800);

SchedulerOptions SchedulerOptionsOf(const SidecarSettings& settings) {
  SchedulerOptions options;
  options.crash_source_ = policy::CrashSourceOf(settings.instance_);
  options.initial_slots_ = settings.initial_slots_;
  options.max_slots_ = settings.max_slots_;
  options.learns_ = settings.kind_ == GroupKind::kEngine;
  options.grant_timeout_ = settings.grant_timeout_;
  return options;
}

// Reports that may be missing before the models of the last are not current,
// and the time that one takes.
constexpr int64_t kReportsToMiss = 2;
constexpr Millis kReportDelay = Millis(1000);
// A load that the engine has taken late shows within this time, or has failed.
constexpr Millis kLateLoading = Millis(60'000);

}  // namespace

class Traffic::Impl {
 public:
  Impl(boost::asio::io_context& io,
       const SidecarSettings& settings,
       log::LogClient& log_client,
       Blackboard& blackboard,
       timeline::Timeline& timeline,
       metrics::Metrics& metrics,
       TrafficHooks hooks)
      : io_(io),
        settings_(settings),
        blackboard_(blackboard),
        timeline_(timeline),
        hooks_(std::move(hooks)),
        scheduler_(SchedulerOptionsOf(settings), Clock::Steady()),
        orders_(io, log_client, settings.orders_),
        hub_([this](const wire::Gossip& gossip) { OnGossip(gossip); }),
        monitor_(io,
                 settings.kind_,
                 settings.upstream_url_,
                 settings.health_interval_,
                 [this](const UpstreamReport& report) { OnReport(report); }),
        context_{io,
                 settings,
                 scheduler_,
                 orders_.executor(),
                 timeline,
                 metrics,
                 [this](ProbedHook hook) { OnUpstreamFailed(std::move(hook)); },
                 [this] { OnTurnedAway(); }},
        server_(io,
                settings.link_options_,
                [this](const std::string& path, link::Stream stream) {
                  return Accept(path, std::move(stream));
                }),
        tick_(io, kTick, [this] { Tick(); }),
        status_(io, settings.status_interval_, [this] { SendStatus(); }),
        gossip_(io, kGossipInterval, [this] { SendGossip(); }) {}

  Status Start() {
    const Result<link::Endpoint> bound = server_.Listen(settings_.link_);
    if (!bound.ok()) {
      return bound.error();
    }
    LOG(INFO) << settings_.instance_.value() << " listens on "
              << bound.value().ToString();
    orders_.Start();
    monitor_.Start();
    tick_.Start();
    status_.Start();
    gossip_.Start();
    return Done{};
  }

  void OnConfig() {
    const auto config = blackboard_.config_.Read();
    if (config == nullptr) {
      return;
    }
    scheduler_.Configure(config->document_);
    timeline_.Add(timeline::EventType::kConfigInForce, RequestId(),
                  InstanceId(), std::to_string(config->revision_.value()));
    SendConfig();
  }

  void SetOffer(const ModelId& model, ModelOffer offer) {
    if (offer == ModelOffer::kWithheld) {
      withheld_.insert(model);
    } else {
      withheld_.erase(model);
    }
    loading_.erase(model);
    if (offer == ModelOffer::kLoading) {
      loading_[model] = clock_.Now();
    }
    if (offer == ModelOffer::kUnloaded) {
      models_.erase(std::remove(models_.begin(), models_.end(), model),
                    models_.end());
    }
    scheduler_.Withhold(withheld_);
    PublishModelUse();
    SendStatus();
  }

  void Leave() {
    if (leaving_) {
      return;
    }
    leaving_ = true;
    LOG(INFO) << settings_.instance_.value() << " leaves";
    timeline_.Add(timeline::EventType::kLeaving, RequestId());
    PublishReady();
    scheduler_.Leave();
    SendStatus();
    server_.Drain();
  }

  void Close() {
    tick_.Stop();
    status_.Stop();
    gossip_.Stop();
    hub_.Finish();
    server_.Close();
    sessions_.clear();
  }

 private:
  link::StreamHooks Accept(const std::string& path, link::Stream stream) {
    if (path == wire::kStatusPath) {
      link::StreamHooks hooks = hub_.Accept(std::move(stream));
      SendStatus();
      SendConfig();
      SendVerdicts(scheduler_.Verdicts(kMaxGossipVerdicts));
      return hooks;
    }
    if (path != wire::kWorkPath) {
      stream.Reset();
      return link::StreamHooks();
    }
    auto session = std::make_shared<WorkSession>(
        context_, std::move(stream),
        [this](const std::shared_ptr<WorkSession>& ended) {
          // Later, as the session is still in one of its own calls.
          boost::asio::post(io_, [this, ended] { sessions_.erase(ended); });
        });
    sessions_.insert(session);
    return session->Hooks();
  }

  void Tick() {
    scheduler_.Tick();
    orders_.executor().Tick();
    if (!withheld_.empty()) {
      PublishModelUse();
    }
    const bool drained =
        leaving_ && sessions_.empty() && orders_.executor().idle();
    if (drained && !told_drained_) {
      told_drained_ = true;
      hooks_.on_drained_();
    }
  }

  void PublishModelUse() {
    blackboard_.model_use_.Write(ModelUse{withheld_, scheduler_.ModelsInUse()});
  }

  void OnReport(const UpstreamReport& report) {
    const bool silent = report.state_ == UpstreamState::kSilent;
    if (silent && silent_probes_ == 0) {
      silent_since_ = clock_.Now();
    }
    silent_probes_ = silent ? silent_probes_ + 1 : 0;
    const bool down = report.state_ == UpstreamState::kUnreachable ||
                      report.state_ == UpstreamState::kLeaving ||
                      silent_probes_ >= kMaxSilentProbes;
    if (report.state_ == UpstreamState::kUp) {
      models_ = report.models_;
      loaded_ = report.loaded_;
      models_reported_ = clock_.Now();
      DropLoading();
    } else if (report.state_ == UpstreamState::kUnreachable) {
      loading_.clear();
    }
    if (down || report.state_ == UpstreamState::kUp) {
      SetUpstreamUp(!down);
    }
    if (silent_probes_ >= kMaxSilentProbes &&
        clock_.Now() - silent_since_ >= kSilentProbing) {
      EndSilentWork();
    }
  }

  // Forgets late loads that the report shows, or that failed.
  void DropLoading() {
    for (auto model = loading_.begin(); model != loading_.end();) {
      const bool shown = std::find(models_.begin(), models_.end(),
                                   model->first) != models_.end();
      const bool failed = clock_.Now() - model->second > kLateLoading;
      model = shown || failed ? loading_.erase(model) : std::next(model);
    }
  }

  // A copy, as ended work makes room for other sessions.
  void EndSilentWork() {
    const std::set<std::shared_ptr<WorkSession>> sessions = sessions_;
    for (const std::shared_ptr<WorkSession>& session : sessions) {
      session->OnUpstreamSilent(kSilentWork);
    }
  }

  void SetUpstreamUp(bool up) {
    if (up == upstream_up_) {
      return;
    }
    upstream_up_ = up;
    LOG(INFO) << settings_.upstream_url_ << (up ? " is up" : " is down");
    scheduler_.SetAccepting(up);
    PublishReady();
    SendStatus();
  }

  void PublishReady() { blackboard_.ready_.Write(upstream_up_ && !leaving_); }

  // A failed call may be a crash or a connection that broke, which a probe
  // tells. Nothing is started until then: a dead upstream would fail one
  // request after the other.
  void OnUpstreamFailed(ProbedHook hook) {
    unprobed_.push_back(std::move(hook));
    if (unprobed_.size() == 1 && !probing_crash_) {
      ProbeForCrash();
    }
  }

  void ProbeForCrash() {
    probing_crash_ = true;
    scheduler_.Hold(true);
    const std::vector<policy::RunningDigest> running =
        scheduler_.RunningDigests();
    const size_t failed_before = unprobed_.size();
    monitor_.Probe(
        [this, running, failed_before](const UpstreamReport& report) {
          probing_crash_ = false;
          OnProbedForCrash(report, running, failed_before);
        });
  }

  // @param failed_before how many calls had failed when the probe began.
  void OnProbedForCrash(const UpstreamReport& report,
                        const std::vector<policy::RunningDigest>& running,
                        size_t failed_before) {
    const bool up = report.state_ == UpstreamState::kUp ||
                    report.state_ == UpstreamState::kLeaving;
    if (!up) {
      SetUpstreamUp(false);
    }
    if (report.state_ == UpstreamState::kUnreachable) {
      timeline_.Add(timeline::EventType::kUpstreamCrashed, RequestId());
      SendVerdicts(scheduler_.OnCrash(running));
    }
    TellProbed(up, up ? failed_before : unprobed_.size());
    if (unprobed_.empty()) {
      scheduler_.Hold(false);
    } else {
      ProbeForCrash();
    }
  }

  void TellProbed(bool up, size_t count) {
    const auto end = unprobed_.begin() + static_cast<std::ptrdiff_t>(count);
    const std::vector<ProbedHook> told(unprobed_.begin(), end);
    unprobed_.erase(unprobed_.begin(), end);
    for (const ProbedHook& hook : told) {
      hook(up);
    }
  }

  // Faster than the next probe, which tells when the upstream is back. Later,
  // as a session is still in one of its own calls.
  void OnTurnedAway() {
    boost::asio::post(io_, [this] { SetUpstreamUp(false); });
  }

  void OnGossip(const wire::Gossip& gossip) {
    for (const wire::CrashVerdict& verdict : gossip.crash_verdicts_) {
      scheduler_.Merge(verdict);
    }
    demands_.Take(gossip.from_, gossip::FromWire(gossip.demands_),
                  clock_.Now());
    if (!gossip.document_.empty()) {
      hooks_.on_config_gossip_(gossip);
    }
  }

  // Tells each entry how much all of them see of the workspaces.
  void SendDemands() {
    wire::Gossip gossip;
    gossip.from_ = settings_.instance_;
    gossip.demands_ = gossip::ToWire(demands_.Sums(clock_.Now()));
    if (!gossip.demands_.empty()) {
      hub_.Broadcast(gossip);
    }
  }

  void SendStatus() {
    wire::SidecarStatus status;
    status.sidecar_ = settings_.instance_;
    status.group_ = settings_.group_;
    status.zone_ = settings_.zone_;
    for (const ModelId& model : models_) {
      const bool withheld = withheld_.count(model) > 0;
      (withheld ? status.withheld_ : status.models_).push_back(model);
    }
    for (const auto& [model, since] : loading_) {
      status.withheld_.push_back(model);
    }
    status.loaded_ = loaded_;
    status.models_current_ =
        clock_.Now() - models_reported_ <=
        settings_.health_interval_ * kReportsToMiss + kReportDelay;
    scheduler_.Describe(&status);
    hub_.Broadcast(status);
  }

  void SendGossip() {
    SendConfig();
    SendVerdicts(scheduler_.Verdicts(kMaxGossipVerdicts));
    SendDemands();
  }

  void SendVerdicts(const std::vector<wire::CrashVerdict>& verdicts) {
    if (!verdicts.empty()) {
      wire::Gossip gossip;
      gossip.from_ = settings_.instance_;
      gossip.crash_verdicts_ = verdicts;
      hub_.Broadcast(gossip);
    }
  }

  void SendConfig() {
    wire::Gossip gossip;
    gossip.from_ = settings_.instance_;
    const auto config = blackboard_.config_.Read();
    if (config != nullptr) {
      gossip.revision_ = config->revision_;
      gossip.config_offset_ = config->offset_;
    }
    const Millis now = clock_.Now();
    gossip.needs_document_ =
        config == nullptr && now - started_ >= kGossipInterval;
    static const std::string kNoDocument;
    hub_.BroadcastConfig(gossip,
                         config == nullptr ? kNoDocument : config->text_, now);
  }

  boost::asio::io_context& io_;
  const SidecarSettings& settings_;
  Blackboard& blackboard_;
  timeline::Timeline& timeline_;
  TrafficHooks hooks_;
  Scheduler scheduler_;
  OrdersFeed orders_;
  StatusHub hub_;
  UpstreamMonitor monitor_;
  SessionContext context_;
  std::set<std::shared_ptr<WorkSession>> sessions_;
  link::LinkServer server_;
  Ticker tick_;
  Ticker status_;
  Ticker gossip_;
  policy::DemandTable demands_;
  const Clock clock_ = Clock::Steady();
  const Millis started_ = clock_.Now();
  std::vector<ModelId> models_;
  std::vector<wire::LoadedModel> loaded_;
  Millis models_reported_;
  std::set<ModelId> withheld_;
  // When it was last known that they may be loading.
  std::map<ModelId, Millis> loading_;
  bool upstream_up_ = false;
  bool leaving_ = false;
  bool told_drained_ = false;
  bool probing_crash_ = false;
  // Failed calls that wait for a probe, in order.
  std::vector<ProbedHook> unprobed_;
  int silent_probes_ = 0;
  Millis silent_since_;
};

Traffic::Traffic(boost::asio::io_context& io,
                 const SidecarSettings& settings,
                 log::LogClient& log_client,
                 Blackboard& blackboard,
                 timeline::Timeline& timeline,
                 metrics::Metrics& metrics,
                 TrafficHooks hooks)
    : impl_(std::make_unique<Impl>(io,
                                   settings,
                                   log_client,
                                   blackboard,
                                   timeline,
                                   metrics,
                                   std::move(hooks))) {}

Traffic::~Traffic() = default;

Status Traffic::Start() {
  return impl_->Start();
}

void Traffic::OnConfig() {
  impl_->OnConfig();
}

void Traffic::SetOffer(const ModelId& model, ModelOffer offer) {
  impl_->SetOffer(model, offer);
}

void Traffic::Leave() {
  impl_->Leave();
}

void Traffic::Close() {
  impl_->Close();
}

}  // namespace bergamotscale::sidecar
