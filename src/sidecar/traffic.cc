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

constexpr Millis kTickInterval(5);
constexpr Millis kGossipInterval(1000);
constexpr size_t kMaxGossipVerdicts = 64;
// Consecutive silent probes after which the upstream is considered down.
constexpr int kMaxSilentProbes = 2;

// Work without data for this long fails if probes of the upstream time out
// too.
constexpr Millis kMaxWorkSilence = Millis(1500);
// Time over which probes must have failed, so that two quick failures don't
// end running work.
constexpr Millis kMinProbeSilence = Millis(800);

SchedulerOptions MakeSchedulerOptions(const SidecarSettings& settings) {
  SchedulerOptions options;
  options.crash_source_ = policy::ComputeCrashSourceId(settings.instance_);
  options.initial_slots_ = settings.initial_slots_;
  options.max_slots_ = settings.max_slots_;
  options.adapts_slots_ = settings.kind_ == GroupKind::kEngine;
  options.grant_timeout_ = settings.grant_timeout_;
  return options;
}

// The models of the last report count as current for this many health check
// intervals, plus kMaxReportDelay for the time that a report may take.
constexpr int64_t kMaxMissedReports = 2;
constexpr Millis kMaxReportDelay = Millis(1000);
// A load that the engine accepted late counts as failed if no report shows the
// model within this time.
constexpr Millis kMaxLateLoadTime = Millis(60'000);

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
        scheduler_(MakeSchedulerOptions(settings), Clock::Steady()),
        orders_(io, log_client, settings.orders_),
        status_hub_([this](const wire::Gossip& gossip) { OnGossip(gossip); }),
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
                 [this](ProbeHook hook) { OnUpstreamFailed(std::move(hook)); },
                 [this] { OnUpstreamUnavailable(); }},
        server_(io,
                settings.link_options_,
                [this](const std::string& path, link::Stream stream) {
                  return Accept(path, std::move(stream));
                }),
        scheduler_ticker_(io, kTickInterval, [this] { Tick(); }),
        status_ticker_(io, settings.status_interval_, [this] { SendStatus(); }),
        gossip_ticker_(io, kGossipInterval, [this] { SendGossip(); }) {}

  Status Start() {
    const Result<link::Endpoint> bound = server_.Listen(settings_.link_);
    if (!bound.ok()) {
      return bound.error();
    }
    LOG(INFO) << settings_.instance_.value() << " is listening on "
              << bound.value().ToString();
    orders_.Start();
    monitor_.Start();
    scheduler_ticker_.Start();
    status_ticker_.Start();
    gossip_ticker_.Start();
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

  void SetAvailability(const ModelId& model, ModelAvailability availability) {
    if (availability == ModelAvailability::kWithheld) {
      withheld_.insert(model);
    } else {
      withheld_.erase(model);
    }
    loading_.erase(model);
    if (availability == ModelAvailability::kLoading) {
      loading_[model] = clock_.Now();
    }
    if (availability == ModelAvailability::kUnloaded) {
      models_.erase(std::remove(models_.begin(), models_.end(), model),
                    models_.end());
    }
    scheduler_.SetWithheldModels(withheld_);
    PublishModelUse();
    SendStatus();
  }

  void Leave() {
    if (leaving_) {
      return;
    }
    leaving_ = true;
    LOG(INFO) << settings_.instance_.value()
              << " leaves: refusing new work, finishing current work";
    timeline_.Add(timeline::EventType::kLeaving, RequestId());
    PublishReady();
    scheduler_.Leave();
    SendStatus();
    server_.Drain();
  }

  void Close() {
    scheduler_ticker_.Stop();
    status_ticker_.Stop();
    gossip_ticker_.Stop();
    status_hub_.Finish();
    server_.Close();
    sessions_.clear();
  }

 private:
  link::StreamHooks Accept(const std::string& path, link::Stream stream) {
    if (path == wire::kStatusPath) {
      link::StreamHooks hooks = status_hub_.Accept(std::move(stream));
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
          // Deferred, because the session is still in one of its own methods.
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
    if (drained && !drained_reported_) {
      drained_reported_ = true;
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
      models_reported_at_ = clock_.Now();
      RemoveFinishedLoads();
    } else if (report.state_ == UpstreamState::kUnreachable) {
      loading_.clear();
    }
    if (down || report.state_ == UpstreamState::kUp) {
      SetUpstreamUp(!down);
    }
    if (silent_probes_ >= kMaxSilentProbes &&
        clock_.Now() - silent_since_ >= kMinProbeSilence) {
      FailSilentWork();
    }
  }

  // Removes late loads that the last report shows or that count as failed.
  void RemoveFinishedLoads() {
    for (auto model = loading_.begin(); model != loading_.end();) {
      const bool shown = std::find(models_.begin(), models_.end(),
                                   model->first) != models_.end();
      const bool failed = clock_.Now() - model->second > kMaxLateLoadTime;
      model = shown || failed ? loading_.erase(model) : std::next(model);
    }
  }

  // Iterates over a copy, because ended work lets other sessions start.
  void FailSilentWork() {
    const std::set<std::shared_ptr<WorkSession>> sessions = sessions_;
    for (const std::shared_ptr<WorkSession>& session : sessions) {
      session->OnUpstreamSilent(kMaxWorkSilence);
    }
  }

  void SetUpstreamUp(bool up) {
    if (up == upstream_responds_) {
      return;
    }
    upstream_responds_ = up;
    LOG(INFO) << settings_.upstream_url_ << (up ? " is up" : " is down");
    scheduler_.SetAccepting(up);
    PublishReady();
    SendStatus();
  }

  void PublishReady() {
    blackboard_.ready_.Write(upstream_responds_ && !leaving_);
  }

  // A probe finds out whether a failed call was a crash or a lost connection.
  // Nothing is started until then, since a crashed upstream would fail one
  // request after another.
  void OnUpstreamFailed(ProbeHook hook) {
    awaiting_probe_.push_back(std::move(hook));
    if (awaiting_probe_.size() == 1 && !probing_crash_) {
      ProbeForCrash();
    }
  }

  void ProbeForCrash() {
    probing_crash_ = true;
    scheduler_.SetPaused(true);
    const std::vector<policy::RunningAttempt> running =
        scheduler_.RunningDigests();
    const size_t failed_before = awaiting_probe_.size();
    monitor_.Probe(
        [this, running, failed_before](const UpstreamReport& report) {
          probing_crash_ = false;
          OnCrashProbeDone(report, running, failed_before);
        });
  }

  // @param failed_before number of failed calls when the probe began.
  void OnCrashProbeDone(const UpstreamReport& report,
                        const std::vector<policy::RunningAttempt>& running,
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
    RunProbeHooks(up, up ? failed_before : awaiting_probe_.size());
    if (awaiting_probe_.empty()) {
      scheduler_.SetPaused(false);
    } else {
      ProbeForCrash();
    }
  }

  void RunProbeHooks(bool up, size_t count) {
    const auto end =
        awaiting_probe_.begin() + static_cast<std::ptrdiff_t>(count);
    const std::vector<ProbeHook> probed_hooks(awaiting_probe_.begin(), end);
    awaiting_probe_.erase(awaiting_probe_.begin(), end);
    for (const ProbeHook& hook : probed_hooks) {
      hook(up);
    }
  }

  // Marks the upstream as down before the next periodic probe, which detects
  // its recovery. Deferred, because a session is still in one of its own
  // methods.
  void OnUpstreamUnavailable() {
    boost::asio::post(io_, [this] { SetUpstreamUp(false); });
  }

  void OnGossip(const wire::Gossip& gossip) {
    for (const wire::CrashVerdict& verdict : gossip.crash_verdicts_) {
      scheduler_.Merge(verdict);
    }
    demands_.RecordReport(gossip.from_, gossip::FromWire(gossip.demands_),
                          clock_.Now());
    if (!gossip.document_.empty()) {
      hooks_.on_config_gossip_(gossip);
    }
  }

  // Sends each entry the workspaces' demand summed over all entries.
  void SendDemands() {
    wire::Gossip gossip;
    gossip.from_ = settings_.instance_;
    gossip.demands_ = gossip::ToWire(demands_.SumDemands(clock_.Now()));
    if (!gossip.demands_.empty()) {
      status_hub_.Broadcast(gossip);
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
    status.models_are_current_ =
        clock_.Now() - models_reported_at_ <=
        settings_.health_interval_ * kMaxMissedReports + kMaxReportDelay;
    scheduler_.FillStatus(&status);
    status_hub_.Broadcast(status);
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
      status_hub_.Broadcast(gossip);
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
    status_hub_.BroadcastConfig(
        gossip, config == nullptr ? kNoDocument : config->text_, now);
  }

  boost::asio::io_context& io_;
  const SidecarSettings& settings_;
  Blackboard& blackboard_;
  timeline::Timeline& timeline_;
  TrafficHooks hooks_;
  Scheduler scheduler_;
  OrdersFeed orders_;
  StatusHub status_hub_;
  UpstreamMonitor monitor_;
  SessionContext context_;
  std::set<std::shared_ptr<WorkSession>> sessions_;
  link::LinkServer server_;
  Ticker scheduler_ticker_;
  Ticker status_ticker_;
  Ticker gossip_ticker_;
  policy::DemandTable demands_;
  const Clock clock_ = Clock::Steady();
  const Millis started_ = clock_.Now();
  std::vector<ModelId> models_;
  std::vector<wire::LoadedModel> loaded_;
  Millis models_reported_at_;
  std::set<ModelId> withheld_;
  // Models that may be loading, with the time at which that was last reported.
  std::map<ModelId, Millis> loading_;
  bool upstream_responds_ = false;
  bool leaving_ = false;
  bool drained_reported_ = false;
  bool probing_crash_ = false;
  // Hooks of failed calls that wait for a probe, in order of failure.
  std::vector<ProbeHook> awaiting_probe_;
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

void Traffic::SetAvailability(const ModelId& model,
                              ModelAvailability availability) {
  impl_->SetAvailability(model, availability);
}

void Traffic::Leave() {
  impl_->Leave();
}

void Traffic::Close() {
  impl_->Close();
}

}  // namespace bergamotscale::sidecar
