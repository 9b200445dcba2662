#include "src/entry/entry.h"

#include <atomic>
#include <thread>
#include <utility>

#include <glog/logging.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/config/config_follower.h"
#include "src/core/blackboard.h"
#include "src/core/chrono_time.h"
#include "src/entry/membership.h"
#include "src/entry/placement_controller.h"
#include "src/entry/router.h"
#include "src/entry/traffic_context.h"
#include "src/gossip/soft_state.h"
#include "src/http/caller_guard.h"
#include "src/http/http_thread.h"
#include "src/http/listener.h"
#include "src/log/log_client.h"

namespace bergamotscale::entry {
namespace {

constexpr Millis kLogTimeout = Millis(5000);
// Wait for the first status of newly opened links.
constexpr Millis kFirstReportDelay = Millis(1000);
constexpr Millis kGossipInterval = Millis(1000);
constexpr Millis kDrainPollInterval = Millis(20);
constexpr size_t kMaxCrashRecordsPerGossip = 32;

using WorkGuard =
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

policy::DispatcherOptions DispatcherOptionsOf(const EntrySettings& settings) {
  policy::DispatcherOptions options;
  options.zone_ = settings.zone_;
  options.reservations_ = settings.reservations_;
  options.seed_ = std::hash<InstanceId>()(settings.instance_);
  return options;
}

http::CallerGuardOptions GuardOptionsOf(const EntrySettings& settings) {
  const CallerLimits& limits = settings.limits_;
  http::CallerGuardOptions options;
  options.public_endpoint_ = settings.public_;
  options.listener_endpoint_ = settings.listener_;
  options.max_connections_ = limits.max_connections_;
  options.max_header_ = limits.max_header_;
  options.max_body_ = limits.max_body_;
  options.header_timeout_ = limits.header_timeout_;
  options.body_timeout_ = limits.body_timeout_;
  options.idle_timeout_ = limits.idle_timeout_;
  return options;
}

}  // namespace

class Entry::Impl {
 public:
  explicit Impl(EntrySettings settings)
      : settings_(std::move(settings)),
        io_(traffic_thread_.io()),
        timeline_(settings_.instance_,
                  Clock::Wall(),
                  static_cast<size_t>(settings_.timeline_events_)),
        upstreams_(io_,
                   settings_,
                   steady_,
                   &timeline_,
                   GossipHooks{[this](config::OfferPacer& offers) {
                                 return BuildGossip(offers);
                               },
                               [this](const wire::Gossip& gossip) {
                                 ApplyGossip(gossip);
                               }}),
        dispatcher_(DispatcherOptionsOf(settings_)),
        traffic_{
            io_,           settings_.instance_, steady_,           upstreams_,
            dispatcher_,   admission_,          output_estimator_, quarantine_,
            retry_budget_, duplicate_gate_,     metrics_,          timeline_},
        log_(settings_.log_url_, kLogTimeout, control_io_),
        follower_(log_,
                  config::ConfigFollowerOptions(),
                  [this](const config::ConfigSnapshot& snapshot) {
                    OnConfig(snapshot);
                  }),
        guard_(io_, GuardOptions()),
        router_(traffic_, config_, MakeConnectionHooks()),
        listener_(settings_.listener_.address_, settings_.listener_.port_),
        membership_(control_io_,
                    settings_.instance_list_url_,
                    settings_.sidecars_,
                    [this](const Members& members) {
                      boost::asio::post(io_, [this, members] {
                        upstreams_.SetMembers(members);
                      });
                    }),
        placement_(control_io_,
                   log_,
                   settings_,
                   timeline_,
                   metrics_,
                   MakePlacementHooks()),
        gossip_timer_(io_),
        engines_timer_(io_) {}

  ~Impl() {
    Stop();
    listener_.Close();
    StopTraffic();
  }

  Status Start() {
    http::AddAdminRoutes(listener_, MakeAdminHooks());
    listener_.Route("GET", "/placement", [this](auto request) {
      http::ReplyText(request, web::http::status_codes::OK,
                      placement_.StateJson(), "application/json");
    });
    router_.Attach(listener_);
    Status opened = listener_.Open();
    if (!opened.ok()) {
      return opened;
    }
    opened = OpenTraffic();
    if (!opened.ok()) {
      return opened;
    }
    membership_.Start();
    placement_.Start();
    control_thread_ = std::thread([this] { control_io_.run(); });
    follower_.Start();
    return Done{};
  }

  void Stop() {
    if (!control_thread_.joinable()) {
      return;
    }
    leaving_ = true;
    timeline_.Add(timeline::EventType::kLeaving, RequestId());
    boost::asio::post(control_io_, [this] { placement_.Leave(); });
    std::this_thread::sleep_for(ToChrono(settings_.leave_grace_));
    guard_.StopAccepting();
    while (router_.active() > 0 || !guard_.drained()) {
      std::this_thread::sleep_for(ToChrono(kDrainPollInterval));
    }
    listener_.Close();
    follower_.Stop();
    boost::asio::post(control_io_, [this] {
      membership_.Stop();
      placement_.Stop();
      control_work_.reset();
    });
    control_thread_.join();
    StopTraffic();
  }

 private:
  // Starts to accept callers.
  Status OpenTraffic() {
    Status opened = Done{};
    traffic_thread_.Run([this, &opened] {
      const Result<link::Endpoint> listening = guard_.Listen();
      if (!listening.ok()) {
        opened = listening.error();
        return;
      }
      ScheduleGossip();
    });
    return opened;
  }

  void StopTraffic() {
    if (std::exchange(traffic_stopped_, true)) {
      return;
    }
    traffic_thread_.Run([this] {
      gossip_timer_.cancel();
      engines_timer_.cancel();
      upstreams_.Close();
      guard_.Close();
    });
    traffic_thread_.Stop();
  }

  http::AdminHooks MakeAdminHooks() {
    http::AdminHooks hooks;
    hooks.ready_ = [this] { return ready(); };
    hooks.metrics_ = &metrics_;
    hooks.timeline_ = [this] { return timeline_.ToJsonLines(); };
    hooks.run_in_background_ = [this](std::function<void()> step) {
      boost::asio::post(control_io_, std::move(step));
    };
    return hooks;
  }

  bool ready() const { return !leaving_ && config_.Read() != nullptr; }

  http::CallerGuardOptions GuardOptions() {
    http::CallerGuardOptions options = GuardOptionsOf(settings_);
    options.on_refused_ = [this](ErrorCode code) {
      metrics_.Add("bergamot_refused", ErrorName(code));
    };
    return options;
  }

  ConnectionHooks MakeConnectionHooks() {
    ConnectionHooks hooks;
    hooks.request_started_ = [this](const std::string& address) {
      guard_.RequestStarted(address);
    };
    hooks.request_finished_ = [this](const std::string& address) {
      guard_.RequestFinished(address);
    };
    hooks.caller_watch_ = [this](const std::string& address,
                                 std::function<void()> left) {
      return std::make_shared<http::CallerWatch>(
          guard_.OnCallerLeft(address, std::move(left)));
    };
    return hooks;
  }

  PlacementHooks MakePlacementHooks() {
    PlacementHooks hooks;
    hooks.read_engines_ = [this](auto done) {
      boost::asio::post(io_, [this, done] { ReadEngines(done); });
    };
    hooks.config_ = [this]() -> std::shared_ptr<const ConfigDocument> {
      const auto config = config_.Read();
      return config == nullptr ? nullptr
                               : std::shared_ptr<const ConfigDocument>(
                                     config, &config->document_);
    };
    return hooks;
  }

  // Placement needs the state of all engines, so this links to all of them. New
  // links get kFirstReportDelay to report first.
  void ReadEngines(
      const std::function<void(std::vector<placement::EngineView>)>& done) {
    if (!upstreams_.LinkToAll()) {
      done(upstreams_.EngineViews());
      return;
    }
    engines_timer_.expires_after(ToChrono(kFirstReportDelay));
    engines_timer_.async_wait([this, done](const boost::system::error_code&) {
      done(upstreams_.EngineViews());
    });
  }

  void OnConfig(const config::ConfigSnapshot& snapshot) {
    config_.Write(snapshot);
    timeline_.Add(timeline::EventType::kConfigInForce, RequestId(),
                  InstanceId(), std::to_string(snapshot.revision_.value()));
    metrics_.Set("bergamot_config_revision", "",
                 static_cast<double>(snapshot.revision_.value()));
    boost::asio::post(io_, [this] {
      const std::shared_ptr<const config::ConfigSnapshot> newest =
          config_.Read();
      admission_.Configure(newest->document_.workspaces_);
      dispatcher_.Configure(newest->document_.classes_);
    });
  }

  wire::Gossip BuildGossip(config::OfferPacer& offers) {
    wire::Gossip gossip;
    gossip.from_ = settings_.instance_;
    const std::shared_ptr<const config::ConfigSnapshot> config = config_.Read();
    gossip.needs_document_ =
        config == nullptr && steady_.Now() - started_ >= kGossipInterval;
    if (config != nullptr) {
      gossip.revision_ = config->revision_;
      if (offers.StartOfferIfDue(config->revision_, steady_.Now())) {
        gossip.config_offset_ = config->offset_;
        gossip.document_ = config->text_;
      }
    }
    const Millis now = steady_.Now();
    gossip.crash_verdicts_ =
        gossip::ToWire(quarantine_.Records(now, kMaxCrashRecordsPerGossip));
    gossip.demands_ = gossip::ToWire(admission_.GetDemands(now));
    return gossip;
  }

  void ApplyGossip(const wire::Gossip& gossip) {
    if (!gossip.document_.empty()) {
      // Runs on the control thread, because parsing would delay requests.
      boost::asio::post(control_io_, [this, gossip] {
        follower_.ApplyPeerOffer(gossip.revision_, gossip.config_offset_,
                                 gossip.document_);
      });
    }
    const Millis now = steady_.Now();
    admission_.SetGlobalDemands(gossip::FromWire(gossip.demands_), now);
    bool changed = false;
    for (const wire::CrashVerdict& verdict : gossip.crash_verdicts_) {
      changed |= quarantine_.Merge(gossip::FromWire(verdict), now);
    }
    if (changed) {
      upstreams_.SendGossip();
    }
  }

  void ScheduleGossip() {
    gossip_timer_.expires_after(ToChrono(kGossipInterval));
    gossip_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        upstreams_.SendGossip();
        upstreams_.AdaptSubset();
        dispatcher_.Refresh(upstreams_.Views());
        ScheduleGossip();
      }
    });
  }

  const EntrySettings settings_;
  const Clock steady_ = Clock::Steady();
  http::HttpThread traffic_thread_;  // runs requests
  boost::asio::io_context& io_;      // of traffic_thread_
  boost::asio::io_context control_io_;
  WorkGuard control_work_{control_io_.get_executor()};
  metrics::Metrics metrics_;
  timeline::Timeline timeline_;
  LatestSnapshot<config::ConfigSnapshot> config_;
  UpstreamTable upstreams_;
  policy::Dispatcher dispatcher_;
  policy::Admission admission_;
  policy::OutputEstimator output_estimator_;
  policy::Quarantine quarantine_;
  policy::RetryBudget retry_budget_;
  policy::DuplicateGate duplicate_gate_;
  TrafficContext traffic_;
  log::LogClient log_;
  config::ConfigFollower follower_;
  http::CallerGuard guard_;
  Router router_;
  http::Listener listener_;
  Membership membership_;
  PlacementController placement_;
  boost::asio::steady_timer gossip_timer_;
  boost::asio::steady_timer engines_timer_;
  const Millis started_ = steady_.Now();
  std::atomic<bool> leaving_{false};
  bool traffic_stopped_ = false;
  std::thread control_thread_;
};

Entry::Entry(EntrySettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}

Entry::~Entry() = default;

Status Entry::Start() {
  return impl_->Start();
}

void Entry::Stop() {
  impl_->Stop();
}

}  // namespace bergamotscale::entry
