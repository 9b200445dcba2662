#include "src/gateway/exchange_impl.h"

#include <optional>
#include <string>
#include <utility>

namespace bergamotscale::gateway {

void Exchange::ConnectToUpstream() {
  context_.upstreams_.Begin(&choice_, placement_request_);
  holds_upstream_ = true;
  prefill_done_ = false;
  // Retries use a new connection, because an idle one may be dead without
  // notice.
  const bool fresh = sends_ > 0;
  context_.upstreams_.Connect(
      choice_.upstream_, fresh,
      [self = shared_from_this()](ConnectionResult result) {
        self->OnConnection(std::move(result));
      });
}

void Exchange::OnConnection(ConnectionResult result) {
  if (ended_) {
    return;
  }
  if (result.is_local_failure_) {
    ReleaseUpstream(CallOutcome::kCancelled);
    WaitForAdmission("no further connection can be opened");
    return;
  }
  if (result.connection_ == nullptr) {
    Log("unreachable")
        .Add("upstream", choice_.upstream_.id_.value())
        .Add("reason", result.reason_)
        .Write();
    ReleaseUpstream(CallOutcome::kUnreachable);
    tried_upstreams_.push_back(choice_.upstream_);
    ++unreachable_;
    if (unreachable_ >= kMaxSends) {
      Fail("upstreams unreachable");
    } else {
      FindUpstream();
    }
    return;
  }
  connection_ = std::move(result.connection_);
  reused_ = result.reused_;
  SendIfAllowed();
}

void Exchange::SendIfAllowed() {
  if (!RecheckBeforeSend()) {
    return;
  }
  // What continues a stream must know what it talks to.
  if (placement_request_.version_.has_value() &&
      !IsConfirmed(context_, connection_->opened_at())) {
    WaitForConfirmation(&Exchange::SendIfAllowed);
    return;
  }
  confirmation_wait_began_.reset();
  Send(reused_);
}

const char* Exchange::FindObstacle() const {
  if (TimeLeft() < kMinTimeLeft) {
    return "no time left";
  }
  if (!CanEndBeforeStop()) {
    return kStopping;
  }
  if (const char* reason = FindQuarantine()) {
    return reason;
  }
  const auto newest = context_.control_.table_.Read();
  if (newest != table_ && !IsAllowedBy(*newest)) {
    return "configuration changed";
  }
  if (table_->NeedsKey(*route_) &&
      TableAge() > context_.freshness_limits_.max_age_for_keys_) {
    return "keys not confirmed lately";
  }
  return nullptr;
}

bool Exchange::RecheckBeforeSend() {
  if (const char* reason = FindObstacle()) {
    ReleaseUpstream(CallOutcome::kCancelled);
    Fail(reason);
    return false;
  }
  if (responder_->MayHaveLeft()) {
    ReleaseUpstream(CallOutcome::kCancelled);
    pause_timer_.Start(web::kResetCheckTime, [self = shared_from_this()] {
      if (!self->ended_) {
        self->FindUpstream();
      }
    });
    return false;
  }
  if (!context_.upstreams_.MaySend(&choice_)) {
    ReleaseUpstream(CallOutcome::kCancelled);
    FindUpstream();
    return false;
  }
  return true;
}

bool Exchange::IsAllowedBy(const route::RouteTable& table) const {
  const route::Route* route = table.FindRoute(call_.host_, call_.target_);
  if (route == nullptr) {
    return false;
  }
  const bool is_same_group =
      is_take_up_ ? LeadsTo(*route, group_)
                  : route::ChooseGroup(*route, info_.id_.value()) == group_;
  if (!is_same_group) {
    return false;
  }
  if (!table.NeedsKey(*route)) {
    return true;
  }
  const route::KeyOwner* holder = table.FindKey(info_.key_);
  return holder != nullptr && workspace_.has_value() &&
         holder->workspace_ == *workspace_;
}

void Exchange::Send(bool reused) {
  const bool may_retry = sends_ + 1 < kMaxSends;
  std::optional<std::string> body =
      may_retry ? request_body_.bytes() : request_body_.Take();
  if (!body.has_value()) {
    Fail(kNoMemory);
    return;
  }
  ForwardInfo info;
  info.time_left_ = context_.stop_.Cap(TimeLeft(), Now());
  info.upstream_ = choice_.upstream_.id_;
  info.workspace_ = workspace_;
  info.urgency_ = table_->FindUrgency(rank_);
  info.resume_after_ = response_started_ ? splitter_.last_id() : std::string();
  web::OutgoingRequest outgoing;
  outgoing.method_ = call_.method_;
  outgoing.target_ = call_.target_;
  outgoing.headers_ =
      context_.header_codec_.encode_headers_(call_.headers_, info);
  outgoing.body_ = *std::move(body);
  if (!may_retry) {
    request_account_.reset();
  }
  choice_.has_permission_ = false;  // used
  ++sends_;
  ++executions_;
  body_.clear();
  body_size_ = 0;
  OpenResponseAccount();
  Log("send")
      .Add("route", route_->name_)
      .Add("upstream", choice_.upstream_.id_.value())
      .Add("started_at", choice_.upstream_.started_at_)
      .Add("version", choice_.version_.value())
      .Add("send", int64_t{sends_})
      .Add("may_repeat", int64_t{route_->is_retryable() ? 1 : 0})
      .Add("reused", int64_t{reused ? 1 : 0})
      .Add("body_bytes", request_body_.size().count())
      .Add("urgency", int64_t{info.urgency_.level_})
      .Add("running", int64_t{choice_.running_})
      .Add("unread_ahead", static_cast<int64_t>(choice_.unread_ahead_))
      .Add("unread_tokens", static_cast<int64_t>(choice_.unread_tokens_))
      .Add("config", table_->version())
      .Add("config_age_ms", TableAge().count())
      .Add("upstreams_age_ms", context_.control_.UpstreamsAge(Now()).count())
      .Add("lapsed", int64_t{choice_.lapsed_ ? 1 : 0})
      .Write();
  context_.link_budget_.RecordSent(
      Bytes(static_cast<int64_t>(outgoing.body_.size())) + kHeaderBytes, Now());
  sent_at_ = Now();
  reused_ = reused;
  has_events_ = false;
  is_answered_ = false;
  in_flight_ = true;
  UpdateRequestUse();
  connection_->Send(std::move(outgoing), Hooks());
}

web::ResponseHooks Exchange::Hooks() {
  const std::weak_ptr<Exchange> weak = weak_from_this();
  web::ResponseHooks hooks;
  hooks.matches_request_ = [weak](const web::ResponseHead& head) {
    const auto self = weak.lock();
    return self == nullptr || self->MatchesRequest(head);
  };
  hooks.on_head_ = [weak](const web::ResponseHead& head) {
    if (const auto self = weak.lock()) {
      self->OnHead(head);
    }
  };
  hooks.on_body_ = [weak](std::string bytes) {
    const auto self = weak.lock();
    return self == nullptr || self->OnBody(std::move(bytes));
  };
  // Keeps the exchange alive until the response has ended.
  hooks.on_end_ = [self = shared_from_this()](const web::CallResult& end) {
    if (!self->ended_) {
      self->OnEnd(end);
    }
  };
  return hooks;
}

}  // namespace bergamotscale::gateway
