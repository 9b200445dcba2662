#include "src/sidecar/sidecar.h"

#include <chrono>
#include <condition_variable>
#include <future>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

#include <glog/logging.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "src/http/listener.h"
#include "src/log/log_client.h"
#include "src/sidecar/traffic.h"

namespace bergamotscale::sidecar {
namespace {

constexpr size_t kTimelineEvents = 20000;
// Time for the last frames to reach the entries.
constexpr std::chrono::milliseconds kFlushTime(200);

std::string NewBootId(const InstanceId& instance) {
  std::random_device random;
  const uint64_t number =
      (static_cast<uint64_t>(random()) << 32) | static_cast<uint64_t>(random());
  return instance.value() + "/" + std::to_string(number);
}

SidecarSettings WithOrderNames(SidecarSettings settings) {
  settings.orders_.sidecar_ = settings.instance_;
  settings.orders_.boot_id_ = NewBootId(settings.instance_);
  return settings;
}

// @return a context that lives as long as the process, because calls that the
// HTTP library has not finished at the end still name it.
boost::asio::io_context& NewContext() {
  static auto* contexts =
      new std::vector<std::unique_ptr<boost::asio::io_context>>();
  contexts->push_back(std::make_unique<boost::asio::io_context>());
  return *contexts->back();
}

// An io_context with the one thread that runs it.
class IoThread {
 public:
  IoThread() : io_(NewContext()), guard_(boost::asio::make_work_guard(io_)) {}
  ~IoThread() { Stop(); }
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;

  void Start() {
    thread_ = std::thread([this] { io_.run(); });
  }
  void Stop() {
    io_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  // Runs a step on the thread and waits for it.
  template <typename Step>
  void Run(Step step) {
    std::promise<void> done;
    boost::asio::post(io_, [&step, &done] {
      step();
      done.set_value();
    });
    done.get_future().wait();
  }
  boost::asio::io_context& io() { return io_; }

 private:
  boost::asio::io_context& io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  std::thread thread_;
};

}  // namespace

class Sidecar::Impl {
 public:
  Impl(const SidecarSettings& settings, std::function<void()> on_drained)
      : settings_(WithOrderNames(settings)),
        on_drained_(std::move(on_drained)),
        timeline_(settings_.instance_, Clock::Wall(), kTimelineEvents),
        log_client_(settings_.log_url_, settings_.log_timeout_),
        listener_(settings_.http_.address_, settings_.http_.port_),
        traffic_(traffic_thread_.io(),
                 settings_,
                 log_client_,
                 blackboard_,
                 timeline_,
                 metrics_,
                 TrafficHooksOf()) {
    blackboard_.ready_.Write(false);
    AddRoutes();
  }

  ~Impl() { traffic_thread_.Stop(); }

  Status Start() {
    traffic_thread_.Start();
    Status started = Done{};
    traffic_thread_.Run([this, &started] { started = traffic_.Start(); });
    return started.ok() ? listener_.Open() : started;
  }

  void Stop() {
    traffic_thread_.Run([this] { traffic_.Leave(); });
    WaitUntilDrained();
    std::this_thread::sleep_for(kFlushTime);
    traffic_thread_.Run([this] { traffic_.Close(); });
    traffic_thread_.Stop();
    listener_.Close();
  }

 private:
  TrafficHooks TrafficHooksOf() {
    TrafficHooks hooks;
    hooks.on_config_gossip_ = [](const wire::Gossip&) {};
    hooks.on_drained_ = [this] {
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        drained_ = true;
      }
      changed_.notify_all();
      on_drained_();
    };
    return hooks;
  }

  void AddRoutes() {
    http::SideHooks hooks;
    hooks.ready_ = [this] { return *blackboard_.ready_.Read(); };
    hooks.metrics_ = &metrics_;
    hooks.timeline_ = [this] { return timeline_.ToJsonLines(); };
    http::AddSideRoutes(listener_, hooks);
  }

  void WaitUntilDrained() {
    std::unique_lock<std::mutex> lock(mutex_);
    const std::chrono::milliseconds bound(settings_.drain_timeout_.count());
    if (!changed_.wait_for(lock, bound, [this] { return drained_; })) {
      LOG(WARNING) << "work was still running at the end of the stop";
    }
  }

  const SidecarSettings settings_;
  std::function<void()> on_drained_;
  Blackboard blackboard_;
  timeline::Timeline timeline_;
  http::Metrics metrics_;
  log::LogClient log_client_;
  http::Listener listener_;
  IoThread traffic_thread_;
  Traffic traffic_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool drained_ = false;
};

Sidecar::Sidecar(const SidecarSettings& settings,
                 std::function<void()> on_drained)
    : impl_(std::make_unique<Impl>(settings, std::move(on_drained))) {}

Sidecar::~Sidecar() = default;

Status Sidecar::Start() {
  return impl_->Start();
}

void Sidecar::Stop() {
  impl_->Stop();
}

}  // namespace bergamotscale::sidecar
