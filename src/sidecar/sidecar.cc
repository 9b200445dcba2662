#include "src/sidecar/sidecar.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

#include <glog/logging.h>
#include <boost/asio/post.hpp>

#include "src/config/config_follower.h"
#include "src/http/http_thread.h"
#include "src/http/listener.h"
#include "src/log/log_client.h"
#include "src/sidecar/engine_orders.h"
#include "src/sidecar/instance_list_watcher.h"
#include "src/sidecar/io_thread.h"
#include "src/sidecar/traffic.h"

namespace bergamotscale::sidecar {
namespace {

constexpr size_t kMaxTimelineEvents = 20000;
// Lets the last frames reach the entries before the connections are closed.
constexpr std::chrono::milliseconds kFlushTime(200);

std::string NewBootId(const InstanceId& instance) {
  std::random_device random;
  const uint64_t number =
      (static_cast<uint64_t>(random()) << 32) | static_cast<uint64_t>(random());
  return instance.value() + "/" + std::to_string(number);
}

SidecarSettings AddOrderIds(SidecarSettings settings) {
  settings.orders_.sidecar_ = settings.instance_;
  settings.orders_.boot_id_ = NewBootId(settings.instance_);
  return settings;
}

config::ConfigFollowerOptions MakeConfigOptions(
    const SidecarSettings& settings) {
  config::ConfigFollowerOptions options;
  options.seed_ = std::hash<std::string>()(settings.orders_.boot_id_);
  return options;
}

}  // namespace

class Sidecar::Impl {
 public:
  Impl(const SidecarSettings& settings,
       std::function<void()> on_drained,
       TrafficThread thread)
      : own_thread_(thread == TrafficThread::kOwn ? std::make_unique<IoThread>()
                                                  : nullptr),
        settings_(AddOrderIds(settings)),
        on_drained_(std::move(on_drained)),
        timeline_(settings_.instance_, Clock::Wall(), kMaxTimelineEvents),
        log_client_(settings_.log_url_, settings_.log_timeout_),
        config_log_client_(settings_.log_url_,
                           settings_.log_timeout_,
                           control_thread_.io()),
        listener_(settings_.http_.address_, settings_.http_.port_),
        traffic_(traffic_io(),
                 settings_,
                 log_client_,
                 blackboard_,
                 timeline_,
                 metrics_,
                 MakeTrafficHooks()),
        config_follower_(config_log_client_,
                         MakeConfigOptions(settings_),
                         [this](const config::ConfigSnapshot& snapshot) {
                           OnConfig(snapshot);
                         }),
        instance_list_watcher_(control_thread_.io(),
                               settings_.instance_list_url_,
                               settings_.instance_,
                               settings_.list_interval_,
                               [this] { OnListedAsLeaving(); }),
        engine_orders_(control_thread_.io(),
                       log_client_,
                       timeline_,
                       metrics_,
                       settings_.instance_,
                       settings_.upstream_url_,
                       MakeEngineOrderHooks()) {
    blackboard_.ready_.Write(false);
    AddRoutes();
  }

  ~Impl() { StopThreads(); }

  Status Start() {
    Status started = Done{};
    if (own_thread_ != nullptr) {
      own_thread_->Start();
    }
    RunOnTrafficThread([this, &started] { started = traffic_.Start(); });
    if (!started.ok()) {
      return started;
    }
    control_thread_.Start();
    config_follower_.Start();
    control_thread_.Run([this] {
      instance_list_watcher_.Start();
      if (settings_.kind_ == GroupKind::kEngine) {
        engine_orders_.Start();
      }
    });
    return listener_.Open();
  }

  void Stop() {
    RunOnTrafficThread([this] { traffic_.Leave(); });
    WaitUntilDrained();
    std::this_thread::sleep_for(kFlushTime);
    RunOnTrafficThread([this] { traffic_.Close(); });
    listener_.Close();
    StopThreads();
  }

 private:
  boost::asio::io_context& traffic_io() {
    return own_thread_ != nullptr ? own_thread_->io() : http_thread_.io();
  }

  // Runs `step` on the traffic thread and waits until it has returned.
  void RunOnTrafficThread(const std::function<void()>& step) {
    if (own_thread_ != nullptr) {
      own_thread_->Run(step);
    } else {
      http_thread_.Run(step);
    }
  }

  void StopTrafficThread() {
    if (own_thread_ != nullptr) {
      own_thread_->Stop();
    } else {
      http_thread_.Stop();
    }
  }

  void StopThreads() {
    config_follower_.Stop();
    control_thread_.Stop();
    StopTrafficThread();
  }

  // Called on the control thread.
  void OnConfig(const config::ConfigSnapshot& snapshot) {
    blackboard_.config_.Write(snapshot);
    metrics_.Set("bergamot_config_revision", "",
                 static_cast<double>(snapshot.revision_.value()));
    boost::asio::post(traffic_io(), [this] { traffic_.OnConfig(); });
  }

  void OnListedAsLeaving() {
    LOG(INFO) << "the platform lists this process as leaving";
    boost::asio::post(traffic_io(), [this] { traffic_.Leave(); });
  }

  TrafficHooks MakeTrafficHooks() {
    TrafficHooks hooks;
    hooks.on_config_gossip_ = [this](const wire::Gossip& gossip) {
      // Documents are parsed on the control thread, so as not to delay traffic.
      boost::asio::post(control_thread_.io(), [this, gossip] {
        config_follower_.ApplyPeerOffer(gossip.revision_, gossip.config_offset_,
                                        gossip.document_);
      });
    };
    hooks.on_drained_ = [this] {
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        drained_ = true;
      }
      drained_changed_.notify_all();
      on_drained_();
    };
    return hooks;
  }

  EngineOrderHooks MakeEngineOrderHooks() {
    EngineOrderHooks hooks;
    hooks.set_availability_ = [this](const ModelId& model,
                                     ModelAvailability availability) {
      boost::asio::post(traffic_io(), [this, model, availability] {
        traffic_.SetAvailability(model, availability);
      });
    };
    hooks.is_idle_ = [this](const ModelId& model) {
      const auto use = blackboard_.model_use_.Read();
      return use != nullptr && use->withheld_.count(model) > 0 &&
             use->in_use_.count(model) == 0;
    };
    return hooks;
  }

  void AddRoutes() {
    http::AdminHooks hooks;
    hooks.ready_ = [this] { return *blackboard_.ready_.Read(); };
    hooks.metrics_ = &metrics_;
    hooks.timeline_ = [this] { return timeline_.ToJsonLines(); };
    hooks.run_in_background_ = [this](std::function<void()> step) {
      boost::asio::post(control_thread_.io(), std::move(step));
    };
    http::AddAdminRoutes(listener_, hooks);
  }

  void WaitUntilDrained() {
    std::unique_lock<std::mutex> lock(mutex_);
    const std::chrono::milliseconds bound(settings_.drain_timeout_.count());
    if (!drained_changed_.wait_for(lock, bound, [this] { return drained_; })) {
      LOG(WARNING)
          << "work was still running at the end of the stop and is cut off";
    }
  }

  const std::unique_ptr<IoThread> own_thread_;  // may be null
  http::HttpThread http_thread_;  // runs traffic if own_thread_ is null
  const SidecarSettings settings_;
  std::function<void()> on_drained_;
  Blackboard blackboard_;
  timeline::Timeline timeline_;
  metrics::Metrics metrics_;
  IoThread control_thread_;
  log::LogClient log_client_;
  log::LogClient config_log_client_;  // calls back on the control thread
  http::Listener listener_;
  Traffic traffic_;
  config::ConfigFollower config_follower_;
  InstanceListWatcher instance_list_watcher_;
  EngineOrders engine_orders_;
  std::mutex mutex_;
  std::condition_variable drained_changed_;
  bool drained_ = false;
};

Sidecar::Sidecar(const SidecarSettings& settings,
                 std::function<void()> on_drained,
                 TrafficThread thread)
    : impl_(std::make_unique<Impl>(settings, std::move(on_drained), thread)) {}

Sidecar::~Sidecar() = default;

Status Sidecar::Start() {
  return impl_->Start();
}

void Sidecar::Stop() {
  impl_->Stop();
}

}  // namespace bergamotscale::sidecar
