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
// Between looks at whether requests for a withheld model still run.
constexpr std::chrono::milliseconds kIdlePoll(50);
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

  // Weak, as the follower is a member and holds these.
  log::FollowerHooks Hooks() {
    std::weak_ptr<Impl> weak = weak_from_this();
    log::FollowerHooks hooks;
    hooks.on_record_ = [weak](const log::Record& record) {
      PostTo(weak, [record](Impl& self) { self.OnRecord(record); });
    };
    hooks.on_caught_up_ = [weak] {
      PostTo(weak, [](Impl& self) {
        self.caught_up_ = true;
        self.CarryOutNext();
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
      NoteRefused(*refused, "its fence is not that of the lease");
    }
    if (!order.has_value() || order->sidecar_ != sidecar_) {
      return;
    }
    if (!gate_.Add(*order)) {
      NoteRefused(*order, "a newer fence was seen");
    }
    CarryOutNext();
  }

  void NoteRefused(const EngineOrder& order, const std::string& why) {
    LOG(WARNING) << placement::DescribeOrder(order)
                 << " is not carried out: " << why;
    timeline_.Add(EventType::kOrderRefused, RequestId(), InstanceId(),
                  placement::DescribeOrder(order) + ": " + why);
    metrics_.Add("bergamot_engine_orders_refused");
  }

  void NoteApplied(const EngineOrder& order) {
    LOG(INFO) << placement::DescribeOrder(order) << " was taken by the engine";
    timeline_.Add(EventType::kOrderApplied, RequestId(), InstanceId(),
                  placement::DescribeOrder(order));
    metrics_.Add("bergamot_engine_orders_applied");
  }

  bool IsLate(const EngineOrder& order) const {
    return order.expires_ > Millis(0) && wall_.Now() >= order.expires_;
  }

  // An order that may be under way in the engine is not given up: the engine
  // is asked until it answers, or is seen to be another process.
  bool IsExpired(const EngineOrder& order) const {
    return IsLate(order) && !under_way_;
  }

  void DropExpired() {
    const EngineOrder* next = gate_.Next();
    while (next != nullptr && IsExpired(*next)) {
      NoteRefused(*next, "it has expired");
      gate_.Done();
      next = gate_.Next();
    }
  }

  void CarryOutNext() {
    if (!caught_up_ || busy_) {
      return;
    }
    DropExpired();
    const EngineOrder* next = gate_.Next();
    OfferAgain(next);
    if (next == nullptr) {
      return;
    }
    busy_ = true;
    if (Unloads(*next) && !Withhold(next->model_)) {
      WaitAndTryAgain(kIdlePoll);
      return;
    }
    Call(*next);
  }

  static bool Unloads(const EngineOrder& order) {
    return order.action_ == placement::EngineAction::kUnloadModel;
  }

  // Ends the withholding of a model that is not to be unloaded any more.
  void OfferAgain(const EngineOrder* next) {
    const bool still =
        next != nullptr && Unloads(*next) && withheld_ == next->model_;
    if (withheld_.has_value() && !still) {
      hooks_.set_offer_(*withheld_, ModelOffer::kOffered);
      withheld_.reset();
    }
  }

  // @return whether no request for the model runs.
  bool Withhold(const ModelId& model) {
    if (!withheld_.has_value()) {
      withheld_ = model;
      hooks_.set_offer_(model, ModelOffer::kWithheld);
    }
    return hooks_.is_idle_(model);
  }

  void Call(const EngineOrder& order) {
    http::Call call;
    call.method_ = "POST";
    call.url_ = engine_url_ + "/orders";
    call.body_ = placement::EngineOrderBody(order);
    call.timeout_ = kCallTimeout;
    called_ = steady_.Now();
    std::weak_ptr<Impl> weak = weak_from_this();
    http::CallOnce(call, [weak, order](const Result<http::Reply>& reply) {
      PostTo(weak, [order, reply](Impl& self) { self.OnReply(order, reply); });
    });
  }

  void OnReply(const EngineOrder& order, const Result<http::Reply>& reply) {
    const int status = reply.ok() ? reply.value().status_ : 0;
    const bool carried_out = status > 0 && status < kHttpFirstError;
    const bool refused =
        status >= kHttpFirstError && status < kHttpFirstServerError;
    NoteUnderWay(order, reply);
    if (carried_out) {
      NoteApplied(order);
      NoteUnloaded(order);
    } else if (refused) {
      NoteRefused(order, "the engine answered " + std::to_string(status));
    }
    if (gate_.IsStale(order)) {
      TryAgain();
    } else if (carried_out || refused) {
      gate_.Done();
      TryAgain();
    } else {
      // The engine may be starting; orders say a state, so that giving one
      // twice does no harm.
      WaitAndTryAgain(kRetryDelay);
    }
  }

  // A call that ran out of time, or was answered late, may take effect later.
  void NoteUnderWay(const EngineOrder& order,
                    const Result<http::Reply>& reply) {
    const bool timed_out =
        !reply.ok() && steady_.Now() >= called_ + kCallTimeout;
    const bool answered = reply.ok();
    const bool process_gone =
        !reply.ok() && reply.error().code_ == ErrorCode::kUpstreamUnreachable;
    const bool refused = answered && reply.value().status_ >= kHttpFirstError;
    // The plan may know of it no more.
    const bool unplanned = timed_out || (answered && !refused && IsLate(order));
    if (unplanned && order.action_ == placement::EngineAction::kLoadModel) {
      hooks_.set_offer_(order.model_, ModelOffer::kLoading);
    } else if (under_way_ && (process_gone || refused)) {
      hooks_.set_offer_(order.model_, ModelOffer::kOffered);
    }
    under_way_ = timed_out || (under_way_ && !answered && !process_gone);
  }

  void NoteUnloaded(const EngineOrder& order) {
    if (Unloads(order) && withheld_ == order.model_) {
      hooks_.set_offer_(order.model_, ModelOffer::kUnloaded);
      withheld_.reset();
    }
  }

  void TryAgain() {
    busy_ = false;
    CarryOutNext();
  }

  void WaitAndTryAgain(std::chrono::milliseconds delay) {
    timer_.expires_after(delay);
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error && !self->stopped_) {
            self->TryAgain();
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
  // The model of an order to unload that is being carried out.
  std::optional<ModelId> withheld_;
  placement::PlacementFold fold_;
  placement::OrderGate gate_;
  std::unique_ptr<log::StreamFollower> follower_;
  bool caught_up_ = false;
  bool busy_ = false;
  // When the last call began, and whether it or the ones before it, of the
  // same order, may still take effect.
  Millis called_;
  bool under_way_ = false;
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
