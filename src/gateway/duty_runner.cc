#include "src/gateway/duty_runner.h"

#include <random>
#include <string>
#include <utility>

#include "src/core/chrono_time.h"

namespace bergamotscale::gateway {
namespace {

DutyOptions MakeOptions(const GatewaySettings& settings, uint64_t member) {
  DutyOptions options;
  options.holder_ = InstanceId(settings.instance_);
  // The wall clock alone may show the same time at two starts.
  options.incarnation_ = Clock::Wall().Now().count();
  options.boot_id_ = settings.instance_ + "/" +
                     std::to_string(options.incarnation_) + "/" +
                     std::to_string(std::random_device{}());
  options.member_ = member;
  options.settings_ = *settings.duties_;
  return options;
}

}  // namespace

DutyRunner::DutyRunner(boost::asio::io_context& io,
                       Clock boot,
                       const GatewaySettings& settings,
                       uint64_t member,
                       DutyStore store,
                       DutyCalls calls,
                       metrics::Metrics* metrics,
                       DecisionLog* log)
    : controller_(MakeOptions(settings, member),
                  std::move(boot),
                  Clock::Wall(),
                  std::move(store),
                  std::move(calls),
                  metrics,
                  log),
      timer_(io) {
  ScheduleUpdate();
}

void DutyRunner::SetPeerHooks(PeerHooks* hooks) {
  hooks->duties_ = [this] { return controller_.TakeMessage(); };
  hooks->on_duties_ = [this](uint64_t peer, const DutyMessage& message) {
    controller_.OnMessage(peer, message);
  };
}

void DutyRunner::CountRequest(const WorkspaceId& workspace) {
  controller_.CountRequest(workspace);
}

void DutyRunner::ScheduleUpdate() {
  timer_.expires_after(ToChrono(DutyController::kUpdateInterval));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      controller_.Update();
      ScheduleUpdate();
    }
  });
}

}  // namespace bergamotscale::gateway
