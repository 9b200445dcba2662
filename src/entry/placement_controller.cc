#include "src/entry/placement_controller.h"

#include <algorithm>
#include <optional>
#include <random>
#include <utility>

#include <glog/logging.h>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "src/core/blackboard.h"
#include "src/core/chrono_time.h"
#include "src/entry/load_budget.h"
#include "src/lease/lease_keeper.h"
#include "src/log/stream_follower.h"
#include "src/placement/model_demand.h"
#include "src/placement/placement_fold.h"

namespace bergamotscale::entry {
namespace {

using lease::Fence;
using placement::EngineOrder;
using placement::EngineView;
using timeline::EventType;

// If the view of the log is older, no lease is requested and no order issued.
constexpr Millis kMaxStaleness = Millis(4000);
// Keeps one planning round within the log's limit on the rate of appends.
constexpr int kMaxOrdersPerRound = 20;

// The state that StateJson() reports.
struct PlacementState {
  InstanceId holder_;
  Fence fence_;
  bool held_ = false;
  int loads_ = 0;
  placement::Demand demand_;
};

uint64_t RandomNumber() {
  std::random_device random;
  return (static_cast<uint64_t>(random()) << 32) |
         static_cast<uint64_t>(random());
}

lease::LeaseKeeperOptions KeeperOptions(const EntrySettings& settings) {
  lease::LeaseKeeperOptions options;
  options.holder_ = settings.instance_;
  options.boot_id_ =
      settings.instance_.value() + "/" + std::to_string(RandomNumber());
  options.ttl_ = settings.placement_.lease_;
  options.request_delay_ =
      Millis(static_cast<int64_t>(RandomNumber() >> 1) % options.ttl_.count());
  return options;
}

placement::ModelDemandOptions DemandOptions(const EntrySettings& settings) {
  placement::ModelDemandOptions options;
  options.decay_time_ = settings.placement_.demand_time_constant_;
  options.reservations_ = settings.reservations_;
  return options;
}

}  // namespace

class PlacementController::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io,
       log::LogClient& client,
       const EntrySettings& settings,
       timeline::Timeline& timeline,
       metrics::Metrics& metrics,
       PlacementHooks hooks)
      : io_(io),
        client_(client),
        settings_(settings.placement_),
        timeline_(timeline),
        metrics_(metrics),
        hooks_(std::move(hooks)),
        timer_(io),
        budget_(settings_),
        demand_options_(DemandOptions(settings)),
        demand_(demand_options_),
        keeper_(
            KeeperOptions(settings),
            steady_,
            wall_,
            [this](const lease::LeaseRecord& record) { AppendLease(record); }) {
  }

  void Start() {
    follower_ = std::make_unique<log::StreamFollower>(
        client_, log::kPlacementStream, log::FollowerOptions(), Hooks());
    follower_->Start();
    Schedule();
  }

  void Leave() {
    leaving_ = true;
    keeper_.Release();
    PublishState();
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
    if (follower_ != nullptr) {
      follower_->Stop();
    }
  }

  std::string StateJson() const {
    const std::shared_ptr<const PlacementState> state = state_.Read();
    const PlacementState shown = state == nullptr ? PlacementState() : *state;
    nlohmann::json demand = nlohmann::json::object();
    for (const auto& [model, slots] : shown.demand_) {
      demand[model.value()] = slots;
    }
    const nlohmann::json body = {{"demand", demand},
                                 {"holder", shown.holder_.value()},
                                 {"fence", shown.fence_.value()},
                                 {"held", shown.held_},
                                 {"loads_in_window", shown.loads_},
                                 {"weight_fetches", settings_.weight_fetches_}};
    return body.dump() + "\n";
  }

 private:
  // Runs a step on the context's thread, unless this was stopped or destroyed.
  template <typename Step>
  static void PostTo(const std::weak_ptr<Impl>& weak, Step step) {
    if (auto self = weak.lock()) {
      boost::asio::post(self->io_, [self, step] {
        if (!self->stopped_) {
          step(*self);
        }
      });
    }
  }

  log::FollowerHooks Hooks() {
    std::weak_ptr<Impl> weak = weak_from_this();
    log::FollowerHooks hooks;
    hooks.on_record_ = [weak](const log::Record& record) {
      PostTo(weak, [record](Impl& self) { self.OnRecord(record); });
    };
    hooks.on_caught_up_ = [weak] {
      PostTo(weak, [](Impl& self) { self.UpdateLease(); });
    };
    return hooks;
  }

  void OnRecord(const log::Record& record) {
    const std::optional<EngineOrder> order = fold_.Apply(record);
    if (order.has_value()) {
      budget_.OnOrderRead(*order);
    } else if (fold_.refused().has_value()) {
      budget_.OnOrderRead(*fold_.refused());
    }
  }

  void Schedule() {
    timer_.expires_after(ToChrono(settings_.plan_interval_));
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error && !self->stopped_) {
            self->Tick();
            self->Schedule();
          }
        });
  }

  bool IsLogViewFresh() const {
    return follower_->caught_up() && follower_->Staleness() < kMaxStaleness;
  }

  void UpdateLease() {
    if (!leaving_ && IsLogViewFresh()) {
      keeper_.Update(fold_.ViewLease(wall_.Now()));
    }
    PublishState();
  }

  void Tick() {
    UpdateLease();
    if (!keeper_.fence().has_value() || !IsLogViewFresh() || planning_) {
      return;
    }
    planning_ = true;
    std::weak_ptr<Impl> weak = weak_from_this();
    hooks_.read_engines_([weak](std::vector<EngineView> engines) {
      PostTo(weak, [engines = std::move(engines)](Impl& self) {
        self.planning_ = false;
        self.Plan(engines);
      });
    });
  }

  void Plan(std::vector<EngineView> engines) {
    const std::optional<Fence> fence = keeper_.fence();
    const std::shared_ptr<const ConfigDocument> config = hooks_.config_();
    if (!fence.has_value() || config == nullptr) {
      return;
    }
    const Millis now = wall_.Now();
    demand_.Observe(engines, steady_.Now());
    budget_.MarkPendingOrders(fold_, now, &engines);
    const int budget =
        std::min(budget_.RemainingLoads(fold_, now), kMaxOrdersPerRound);
    for (EngineOrder& order :
         PlanOrders(*config, engines, budget, demand_.slots())) {
      order.fence_ = *fence;
      order.wall_ = now;
      order.expires_ = now + LifetimeOf(order);
      IssueOrder(order);
    }
  }

  // An unload gets the longer time, because the engine first finishes the
  // running requests of the model.
  Millis LifetimeOf(const EngineOrder& order) const {
    const bool unloads = order.action_ == placement::EngineAction::kUnloadModel;
    return unloads ? settings_.load_timeout_ : settings_.order_lifetime_;
  }

  void IssueOrder(const EngineOrder& order) {
    budget_.OnOrderIssued(order);
    LOG(INFO) << "issuing an order to " << order.sidecar_.value() << ": "
              << placement::DescribeOrder(order);
    timeline_.Add(EventType::kOrderGiven, RequestId(), order.sidecar_,
                  placement::DescribeOrder(order));
    metrics_.Add("bergamot_engine_orders_given");
    std::weak_ptr<Impl> weak = weak_from_this();
    client_.Append(log::kPlacementStream, EncodeRecord(order),
                   [weak, order](const Result<LogOffset>& result) {
                     const bool not_appended =
                         !result.ok() &&
                         result.error().code_ == ErrorCode::kLogUnavailable;
                     if (not_appended) {
                       PostTo(weak, [order](Impl& self) {
                         self.budget_.OnOrderRead(order);
                       });
                     }
                   });
  }

  void AppendLease(const lease::LeaseRecord& record) {
    client_.Append(log::kPlacementStream, EncodeRecord(record),
                   [](const Result<LogOffset>& result) {
                     if (!result.ok()) {
                       VLOG(1) << "lease record not appended: "
                               << result.error().Message();
                     }
                   });
  }

  // Publishes the lease state and records changes since the last call.
  void PublishState() {
    const std::optional<Fence> held = keeper_.fence();
    if (held != recorded_fence_) {
      RecordLeaseChange(held);
    }
    PlacementState state;
    if (fold_.lease().has_value()) {
      state.holder_ = fold_.lease()->holder_;
      state.fence_ = fold_.lease()->fence_;
    }
    state.held_ = held.has_value();
    state.loads_ = budget_.UsedLoads(fold_, wall_.Now());
    if (state.held_) {
      state.demand_ = demand_.slots();
    }
    metrics_.Set("bergamot_placement_held", "", state.held_ ? 1 : 0);
    metrics_.Set("bergamot_placement_fence", "",
                 static_cast<double>(state.fence_.value()));
    state_.Write(state);
  }

  void RecordLeaseChange(const std::optional<Fence>& held) {
    if (recorded_fence_.has_value()) {
      timeline_.Add(EventType::kLeaseLost, RequestId(), InstanceId(),
                    "fence " + std::to_string(recorded_fence_->value()));
      LOG(INFO) << "lease on placement lost, fence "
                << recorded_fence_->value();
    }
    if (held.has_value()) {
      demand_ = placement::ModelDemand(demand_options_);
      timeline_.Add(EventType::kLeaseWon, RequestId(), InstanceId(),
                    "fence " + std::to_string(held->value()));
      LOG(INFO) << "lease on placement acquired, fence " << held->value();
    }
    recorded_fence_ = held;
  }

  boost::asio::io_context& io_;
  log::LogClient& client_;
  const PlacementSettings settings_;
  timeline::Timeline& timeline_;
  metrics::Metrics& metrics_;
  const PlacementHooks hooks_;
  const Clock steady_ = Clock::Steady();
  const Clock wall_ = Clock::Wall();
  boost::asio::steady_timer timer_;
  placement::PlacementFold fold_;
  LoadBudget budget_;
  const placement::ModelDemandOptions demand_options_;
  placement::ModelDemand demand_;
  lease::LeaseKeeper keeper_;
  std::unique_ptr<log::StreamFollower> follower_;
  std::optional<Fence> recorded_fence_;
  LatestSnapshot<PlacementState> state_;
  bool planning_ = false;
  bool leaving_ = false;
  bool stopped_ = false;
};

PlacementController::PlacementController(boost::asio::io_context& io,
                                         log::LogClient& client,
                                         const EntrySettings& settings,
                                         timeline::Timeline& timeline,
                                         metrics::Metrics& metrics,
                                         PlacementHooks hooks)
    : impl_(std::make_shared<Impl>(io,
                                   client,
                                   settings,
                                   timeline,
                                   metrics,
                                   std::move(hooks))) {}

PlacementController::~PlacementController() {
  impl_->Stop();
}

void PlacementController::Start() {
  impl_->Start();
}

void PlacementController::Leave() {
  impl_->Leave();
}

void PlacementController::Stop() {
  impl_->Stop();
}

std::string PlacementController::StateJson() const {
  return impl_->StateJson();
}

}  // namespace bergamotscale::entry
