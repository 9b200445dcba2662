#include "src/gateway/exchange_impl.h"

namespace bergamotscale::gateway {
namespace {

// While no upstream is usable, a request looks for one at this interval, for at
// most its latency target divided by kNoUpstreamWaitShare.
constexpr int kNoUpstreamWaitShare = 8;
constexpr Millis kNoUpstreamRetryInterval = Millis(20);
// The list of upstreams confirms a connection within this time, or not at all.
constexpr Millis kMaxConfirmationWait = Millis(2'000);
// A queued request keeps its chosen instance for this long, because choosing
// among all instances costs a hundred times as much as checking one.
constexpr Millis kChoiceLifetime = Millis(80);

}  // namespace

void Exchange::FindUpstream() {
  if (TimeLeft() < kMinTimeLeft) {
    Fail("no time left");
    return;
  }
  if (response_started_ && !is_take_up_ && !IsOriginConfirmed()) {
    WaitForConfirmation(&Exchange::FindUpstream);
    return;
  }
  confirmation_wait_began_.reset();
  if (!ChooseUpstream()) {
    WaitForUsableUpstream();
    return;
  }
  // A limited upstream is worth more than one that can't be reached, and
  // requests that wait for a rate go first.
  if ((choice_.paused_ ||
       context_.rate_queue_.HasWaiting(group_, rank_.priority_)) &&
      WaitForRate()) {
    return;
  }
  if (!LinkHasCapacity() || !MayLoadEngine()) {
    WaitForAdmission("engine or link busy");
    return;
  }
  if (!context_.upstreams_.HasFreeConnection()) {
    WaitForAdmission("connections to upstreams are at their limit");
    return;
  }
  ConnectToUpstream();
}

bool Exchange::IsOriginConfirmed() const {
  return context_.origins_.Find(StreamId(), group_, Millis(0), false, Now())
             .source_ == policy::OriginSource::kRecorded;
}

void Exchange::WaitForConfirmation(void (Exchange::*act)()) {
  if (!confirmation_wait_began_.has_value()) {
    confirmation_wait_began_ = Now();
  }
  if (Now() - *confirmation_wait_began_ > kMaxConfirmationWait) {
    Fail("the upstream's version is not confirmed");
    return;
  }
  pause_timer_.Start(kNoUpstreamRetryInterval,
                     [self = shared_from_this(), act] {
                       if (!self->ended_) {
                         ConfirmOrigins(self->context_);
                         (*self.*act)();
                       }
                     });
}

bool Exchange::ChooseUpstream() {
  chosen_at_ = Now();
  placement_request_.patience_ =
      policy::ComputeAffinity(Now() - arrived_, route_->target_);
  return context_.upstreams_.Choose(group_, placement_request_,
                                    tried_upstreams_, &choice_);
}

bool Exchange::LinkHasCapacity() const {
  return context_.link_budget_.HasRoom(request_body_.size(), Now());
}

bool Exchange::EngineHasCapacity(const UpstreamSet::Choice& choice) const {
  policy::PrefillLimitParams rule = admission_rule_;
  rule.tokens_per_ms_ = choice.prefill_tokens_per_ms_;
  const double allowed = policy::ComputePrefillLimit(
      rule, choice.unread_tokens_, choice.recomputes_cached_prefix_);
  return allowed < 0 || choice.unread_ahead_ <= allowed;
}

bool Exchange::MayLoadEngine() const {
  return response_started_ || is_take_up_ || EngineHasCapacity(choice_);
}

void Exchange::WaitForAdmission(const char* reason) {
  policy::QueuedRequest waiting;
  waiting.priority_ = rank_.priority_;
  waiting.route_priority_ = rank_.route_priority_;
  waiting.due_ = arrived_ + route_->target_;
  // While others can still be on time, each late one that is sent makes
  // another one late.
  waiting.late_delay_ = time_limit_;
  admission_id_ = context_.admission_.Enqueue(
      waiting, [self = shared_from_this()] { return self->TryAdmit(); });
  is_queued_ = true;
  context_.metrics_.Add("bergamot_gateway_waited");
  Log("waits_for_room")
      .Add("route", route_->name_)
      .Add("reason", reason)
      .Add("priority", int64_t{rank_.priority_})
      .Add("route_priority", int64_t{rank_.route_priority_})
      .Add("upstream", choice_.upstream_.id_.value())
      .Add("unread_ahead", static_cast<int64_t>(choice_.unread_ahead_))
      .Add("unread_tokens", static_cast<int64_t>(choice_.unread_tokens_))
      .Add("link_backlog_ms", context_.link_budget_.GetBacklog(Now()).count())
      .Add("waiting", static_cast<int64_t>(context_.admission_.size()))
      .Add("upstreams_age_ms", context_.control_.UpstreamsAge(Now()).count())
      .Write();
}

bool Exchange::TryAdmit() {
  if (ended_) {
    return true;
  }
  if (TimeLeft() < context_.service_time_.MinTimeLeft(route_->name_)) {
    is_queued_ = false;
    rate_ticket_.reset();
    Fail("too late to be served in time");
    return true;
  }
  if (!LinkHasCapacity() || !context_.upstreams_.HasFreeConnection()) {
    return false;
  }
  const bool keeps_choice = Now() - chosen_at_ < kChoiceLifetime &&
                            context_.upstreams_.Refresh(&choice_);
  if ((!keeps_choice && !ChooseUpstream()) || !MayLoadEngine()) {
    return false;
  }
  if (choice_.paused_ && rate_ticket_.has_value()) {
    return false;
  }
  is_queued_ = false;
  rate_ticket_.reset();
  ConnectToUpstream();
  return true;
}

bool Exchange::WaitForRate() {
  const auto forecast = context_.upstreams_.ForecastRate(group_);
  if (!forecast.has_value() || sends_ > 0) {
    return false;
  }
  const auto wait =
      context_.rate_queue_.ExpectedWait(group_, rank_.priority_, *forecast);
  if (wait.has_value() &&
      *wait < TimeLeft() - context_.service_time_.MinTimeLeft(route_->name_)) {
    rate_ticket_.emplace(context_.rate_queue_, group_, rank_.priority_);
    WaitForAdmission("upstreams limit the rate");
    return true;
  }
  upstream_pause_ =
      context_.rate_queue_.ReserveReturn(group_, *forecast, Now());
  Fail("all upstreams limit the rate");
  return true;
}

void Exchange::WaitForUsableUpstream() {
  if (WaitForRate()) {
    return;
  }
  const Millis limit = route_->target_ / kNoUpstreamWaitShare;
  upstream_pause_ = context_.upstreams_.TimeUntilUnpaused(group_);
  if (Now() - arrived_ + upstream_pause_ > limit && sends_ == 0 &&
      upstream_pause_ > Millis(0)) {
    Fail("all upstreams asked for no requests");
    return;
  }
  if (Now() - arrived_ > limit || (sends_ > 0 && !tried_upstreams_.empty())) {
    Fail("no usable upstream");
    return;
  }
  if (!wait_logged_) {
    wait_logged_ = true;
    Log("held")
        .Add("route", route_->name_)
        .Add("reason", "no usable upstream")
        .Add("upstreams_age_ms", context_.control_.UpstreamsAge(Now()).count())
        .Write();
  }
  pause_timer_.Start(kNoUpstreamRetryInterval, [self = shared_from_this()] {
    if (!self->ended_) {
      self->FindUpstream();
    }
  });
}

}  // namespace bergamotscale::gateway
