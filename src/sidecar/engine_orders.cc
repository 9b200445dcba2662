#include "src/sidecar/engine_orders.h"

#include <chrono>
#include <optional>
#include <utility>

#include <glog/logging.h>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/http/client.h"
#include "src/log/stream_follower.h"
#include "src/placement/order_gate.h"
#include "src/placement/placement_fold.h"

namespace bergamotscale::sidecar {
namespace {

using placement::EngineOrder;
using timeline::EventType;

constexpr int kHttpFirstError = 400;
constexpr int kHttpFirstServerError = 500;
constexpr std::chrono::milliseconds kRetryDelay(500);
// Interval between checks whether a withheld model still has running requests.
constexpr std::chrono::milliseconds kIdlePollInterval(50);
constexpr Millis kCallTimeout(5000);

}  // namespace

class EngineOrders::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io,
       log::LogClient& client,
       timeline::Timeline& timeline,
       metrics::Metrics& metrics,
       InstanceId sidecar,
       std::string engine_url,
       EngineOrderHooks hooks)
      : io_(io),
        client_(client),
        timeline_(timeline),
        metrics_(metrics),
        timer_(io),
        sidecar_(std::move(sidecar)),
        engine_url_(std::move(engine_url)),
        hooks_(std::move(hooks)) {}

  // The hooks hold a weak pointer, because the follower that stores them is a
  // member of this object.
  log::FollowerHooks Hooks() {
    std::weak_ptr<Impl> weak = weak_from_this();
    log::FollowerHooks hooks;
    hooks.on_record_ = [weak](const log::Record& record) {
      PostTo(weak, [record](Impl& self) { self.OnRecord(record); });
    };
    hooks.on_caught_up_ = [weak] {
      PostTo(weak, [](Impl& self) {
        self.caught_up_ = true;
        self.ExecuteNext();
      });
    };
    return hooks;
  }

  void Follow() {
    follower_ = std::make_unique<log::StreamFollower>(
        client_, log::kPlacementStream, log::FollowerOptions(), Hooks());
    follower_->Start();
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
    if (follower_ != nullptr) {
      follower_->Stop();
    }
  }

 private:
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

  void OnRecord(const log::Record& record) {
    const std::optional<EngineOrder> order = fold_.Apply(record);
    const std::optional<EngineOrder>& refused = fold_.refused();
    if (refused.has_value() && refused->sidecar_ == sidecar_) {
      ReportRefused(*refused, "its fence is not that of the lease");
    }
    if (!order.has_value() || order->sidecar_ != sidecar_) {
      return;
    }
    if (!gate_.Add(*order)) {
      ReportRefused(*order, "a newer fence was seen");
    }
    ExecuteNext();
  }

  void ReportRefused(const EngineOrder& order, const std::string& why) {
    LOG(WARNING) << placement::DescribeOrder(order)
                 << " is not carried out: " << why;
    timeline_.Add(EventType::kOrderRefused, RequestId(), InstanceId(),
                  placement::DescribeOrder(order) + ": " + why);
    metrics_.Add("bergamot_engine_orders_refused");
  }

  void ReportApplied(const EngineOrder& order) {
    LOG(INFO) << placement::DescribeOrder(order) << " was taken by the engine";
    timeline_.Add(EventType::kOrderApplied, RequestId(), InstanceId(),
                  placement::DescribeOrder(order));
    metrics_.Add("bergamot_engine_orders_applied");
  }

  bool IsPastExpiry(const EngineOrder& order) const {
    return order.expires_ > Millis(0) && wall_.Now() >= order.expires_;
  }

  // An order that the engine may still be executing does not expire. It is
  // retried until the engine responds or refuses the connection, which means
  // that its process is gone.
  bool IsExpired(const EngineOrder& order) const {
    return IsPastExpiry(order) && !may_take_effect_;
  }

  void DropExpired() {
    const EngineOrder* next = gate_.Next();
    while (next != nullptr && IsExpired(*next)) {
      ReportRefused(*next, "it has expired");
      gate_.FinishNext();
      next = gate_.Next();
    }
  }

  void ExecuteNext() {
    if (!caught_up_ || busy_) {
      return;
    }
    DropExpired();
    const EngineOrder* next = gate_.Next();
    RestoreAvailability(next);
    if (next == nullptr) {
      return;
    }
    busy_ = true;
    if (IsUnload(*next) && !WithholdAndCheckIdle(next->model_)) {
      ResumeAfter(kIdlePollInterval);
      return;
    }
    Call(*next);
  }

  static bool IsUnload(const EngineOrder& order) {
    return order.action_ == placement::EngineAction::kUnloadModel;
  }

  // Makes the withheld model available again unless `next` unloads it.
  void RestoreAvailability(const EngineOrder* next) {
    const bool still_unloading =
        next != nullptr && IsUnload(*next) && withheld_ == next->model_;
    if (withheld_.has_value() && !still_unloading) {
      hooks_.set_availability_(*withheld_, ModelAvailability::kAvailable);
      withheld_.reset();
    }
  }

  // @return whether the model is withheld and no request for it is running.
  bool WithholdAndCheckIdle(const ModelId& model) {
    if (!withheld_.has_value()) {
      withheld_ = model;
      hooks_.set_availability_(model, ModelAvailability::kWithheld);
    }
    return hooks_.is_idle_(model);
  }

  void Call(const EngineOrder& order) {
    http::Call call;
    call.method_ = "POST";
    call.url_ = engine_url_ + "/orders";
    call.body_ = placement::EngineOrderBody(order);
    call.timeout_ = kCallTimeout;
    call_started_ = steady_.Now();
    std::weak_ptr<Impl> weak = weak_from_this();
    http::CallOnce(call, [weak, order](const Result<http::Reply>& reply) {
      PostTo(weak, [order, reply](Impl& self) { self.OnReply(order, reply); });
    });
  }

  void OnReply(const EngineOrder& order, const Result<http::Reply>& reply) {
    const int status = reply.ok() ? reply.value().status_ : 0;
    const bool executed = status > 0 && status < kHttpFirstError;
    const bool refused =
        status >= kHttpFirstError && status < kHttpFirstServerError;
    UpdatePendingEffect(order, reply);
    if (executed) {
      ReportApplied(order);
      MarkUnloaded(order);
    } else if (refused) {
      ReportRefused(order, "the engine answered " + std::to_string(status));
    }
    if (gate_.IsStale(order)) {
      Resume();
    } else if (executed || refused) {
      gate_.FinishNext();
      Resume();
    } else {
      // The engine may be starting. Orders are idempotent, so a retry is safe.
      ResumeAfter(kRetryDelay);
    }
  }

  // Updates whether the order may still take effect: a call that timed out, or
  // whose response came after the order's expiry, may do so later.
  void UpdatePendingEffect(const EngineOrder& order,
                           const Result<http::Reply>& reply) {
    const bool timed_out =
        !reply.ok() && steady_.Now() >= call_started_ + kCallTimeout;
    const bool answered = reply.ok();
    const bool process_gone =
        !reply.ok() && reply.error().code_ == ErrorCode::kUpstreamUnreachable;
    const bool refused = answered && reply.value().status_ >= kHttpFirstError;
    // The planner counts an order as pending for a limited time only. Reporting
    // the model as loading makes it occupy the engine's room after that, too.
    const bool may_load_late =
        timed_out || (answered && !refused && IsPastExpiry(order));
    if (may_load_late && order.action_ == placement::EngineAction::kLoadModel) {
      hooks_.set_availability_(order.model_, ModelAvailability::kLoading);
    } else if (may_take_effect_ && (process_gone || refused)) {
      hooks_.set_availability_(order.model_, ModelAvailability::kAvailable);
    }
    may_take_effect_ =
        timed_out || (may_take_effect_ && !answered && !process_gone);
  }

  void MarkUnloaded(const EngineOrder& order) {
    if (IsUnload(order) && withheld_ == order.model_) {
      hooks_.set_availability_(order.model_, ModelAvailability::kUnloaded);
      withheld_.reset();
    }
  }

  void Resume() {
    busy_ = false;
    ExecuteNext();
  }

  void ResumeAfter(std::chrono::milliseconds delay) {
    timer_.expires_after(delay);
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error && !self->stopped_) {
            self->Resume();
          }
        });
  }

  boost::asio::io_context& io_;
  log::LogClient& client_;
  timeline::Timeline& timeline_;
  metrics::Metrics& metrics_;
  const Clock wall_ = Clock::Wall();
  const Clock steady_ = Clock::Steady();
  boost::asio::steady_timer timer_;
  InstanceId sidecar_;
  std::string engine_url_;
  const EngineOrderHooks hooks_;
  // The model that is withheld while it is being unloaded.
  std::optional<ModelId> withheld_;
  placement::PlacementFold fold_;
  placement::OrderGate gate_;
  std::unique_ptr<log::StreamFollower> follower_;
  bool caught_up_ = false;
  bool busy_ = false;
  // When the last call started, and whether it or an earlier call for the same
  // order may still take effect.
  Millis call_started_;
  bool may_take_effect_ = false;
  bool stopped_ = false;
};

EngineOrders::EngineOrders(boost::asio::io_context& io,
                           log::LogClient& client,
                           timeline::Timeline& timeline,
                           metrics::Metrics& metrics,
                           InstanceId sidecar,
                           std::string engine_url,
                           EngineOrderHooks hooks)
    : impl_(std::make_shared<Impl>(io,
                                   client,
                                   timeline,
                                   metrics,
                                   std::move(sidecar),
                                   std::move(engine_url),
                                   std::move(hooks))) {}

EngineOrders::~EngineOrders() {
  impl_->Stop();
}

void EngineOrders::Start() {
  impl_->Follow();
}

}  // namespace bergamotscale::sidecar
