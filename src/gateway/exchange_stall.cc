#include "src/gateway/exchange_impl.h"

#include <algorithm>
#include <utility>

namespace bergamotscale::gateway {
namespace {

// A resumable stream is moved to another upstream if it stalls for this
// multiple of its inter-token target, before its caller times out.
constexpr int kStallFactor = 4;
constexpr Millis kMinStall = Millis(1'200);
// The list of upstreams confirms a new connection within this time.
constexpr Millis kMaxMoveWait = Millis(1'000);
constexpr Millis kConfirmationInterval = Millis(20);

}  // namespace

void Exchange::StartStallTimer() {
  if (!route_->resumable_ || executions_ >= route_->max_attempts_) {
    return;
  }
  const Millis stall = std::max(route_->gap_target_ * kStallFactor, kMinStall);
  pause_timer_.StartDeadlineTimer(stall, [self = shared_from_this()] {
    if (!self->ended_ && self->holds_upstream_) {
      self->OnStalled();
    }
  });
}

void Exchange::OnStalled() {
  if (const char* obstacle = FindMoveObstacle()) {
    StayStalled(obstacle);
    return;
  }
  UpstreamSet::Choice choice;
  if (!ChooseForMove(&choice)) {
    StayStalled("no other upstream can go on");
    return;
  }
  const UpstreamKey upstream = choice.upstream_;
  context_.upstreams_.Connect(
      upstream, true,
      [self = shared_from_this(), choice,
       epoch = stall_epoch_](ConnectionResult result) {
        if (!self->ended_ && self->stall_epoch_ == epoch) {
          self->OnMoveConnection(choice, std::move(result));
        } else if (result.connection_ != nullptr) {
          self->context_.upstreams_.ReturnConnection(
              choice.upstream_, std::move(result.connection_));
        }
      });
}

const char* Exchange::FindMoveObstacle() const {
  // The other upstream may still reject the request, and a third send may come
  // too late.
  if (context_.stop_.is_stopping()) {
    return kStopping;
  }
  if (const char* obstacle = FindObstacle()) {
    return obstacle;
  }
  if (!CanSendAgain(Verdict::kMayHaveExecuted)) {
    return "no further send is allowed";
  }
  return IsOriginConfirmed() || is_take_up_
             ? nullptr
             : "the upstream's version is not confirmed";
}

bool Exchange::ChooseForMove(UpstreamSet::Choice* choice) {
  std::vector<UpstreamKey> tried = tried_upstreams_;
  tried.push_back(choice_.upstream_);
  const bool found =
      context_.upstreams_.Choose(group_, placement_request_, tried, choice);
  return found && !choice->paused_ &&
         std::find(tried.begin(), tried.end(), choice->upstream_) ==
             tried.end() &&
         EngineHasCapacity(*choice) && LinkHasCapacity() &&
         context_.upstreams_.HasFreeConnection();
}

void Exchange::OnMoveConnection(const UpstreamSet::Choice& choice,
                                ConnectionResult result) {
  if (result.connection_ == nullptr) {
    if (!result.is_local_failure_) {
      tried_upstreams_.push_back(choice.upstream_);
    }
    StayStalled("the other upstream is unreachable");
    return;
  }
  move_.emplace();
  move_->choice_ = choice;
  move_->connection_ = std::move(result.connection_);
  move_->began_ = Now();
  ContinueMove();
}

void Exchange::ContinueMove() {
  if (IsConfirmed(context_, move_->connection_->opened_at())) {
    FinishMove();
    return;
  }
  if (Now() - move_->began_ > kMaxMoveWait) {
    StayStalled("the other upstream's version is not confirmed");
    return;
  }
  pause_timer_.Start(kConfirmationInterval, [self = shared_from_this()] {
    if (!self->ended_ && self->move_.has_value()) {
      self->ContinueMove();
    }
  });
}

void Exchange::FinishMove() {
  if (const char* obstacle = FindMoveObstacle()) {
    StayStalled(obstacle);
    return;
  }
  if (responder_->MayHaveLeft()) {
    StayStalled("the caller may have left");
    return;
  }
  UpstreamSet::Choice* const next = &move_->choice_;
  context_.upstreams_.Begin(next, placement_request_);
  const bool takes_requests = context_.upstreams_.MaySend(next);
  if (!takes_requests || !context_.retry_budget_.TryRetry(group_, Now())) {
    context_.upstreams_.End(*next, false, CallOutcome::kCancelled);
    StayStalled(takes_requests ? "the retry budget is used up"
                               : "the other upstream takes no requests");
    return;
  }
  LogFailedSend("send_again", "the answer stalled", Verdict::kMayHaveExecuted);
  context_.metrics_.Add("bergamot_gateway_sent_again");
  Move move = std::move(*move_);
  move_.reset();
  ReleaseUpstream(CallOutcome::kConnectionLost);
  tried_upstreams_.push_back(choice_.upstream_);
  // Drops the incomplete event, which the next upstream sends again.
  splitter_.ExtractRemainder();
  choice_ = move.choice_;
  holds_upstream_ = true;
  prefill_done_ = false;
  connection_ = std::move(move.connection_);
  Send(false);
}

void Exchange::StayStalled(const char* reason) {
  DropMove();
  Log("stalled")
      .Add("upstream", choice_.upstream_.id_.value())
      .Add("reason", reason)
      .Write();
  context_.metrics_.Add("bergamot_gateway_stalled", reason);
  StartStallTimer();
}

void Exchange::DropMove() {
  if (!move_.has_value()) {
    return;
  }
  Move move = std::move(*move_);
  move_.reset();
  pause_timer_.Cancel();
  context_.upstreams_.ReturnConnection(move.choice_.upstream_,
                                       std::move(move.connection_));
}

}  // namespace bergamotscale::gateway
