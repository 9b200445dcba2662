#include "src/gateway/exchange.h"

#include <algorithm>
#include <cstdio>
#include <optional>
#include <utility>
#include <vector>

#include <xxhash.h>

#include "src/gateway/event_splitter.h"
#include "src/gateway/repeat_rule.h"
#include "src/policy/prefix_hasher.h"
#include "src/web/one_shot_timer.h"

namespace bergamotscale::gateway {
namespace {

using route::CallKind;

constexpr int kStatusOk = 200;
constexpr int kStatusMultipleChoices = 300;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnauthorized = 401;
constexpr int kStatusNotFound = 404;
constexpr int kStatusServerError = 500;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;

// A caller is told to come back after this, or sooner if it has little time.
constexpr Millis kRetryAfter = Millis(1'000);
// Callers wait for no longer than a third of the time that they have left.
constexpr int kRetryAfterShare = 3;
// Without a usable upstream the request is held for this share of its target,
// and tried again at this pace.
constexpr int kHoldShare = 8;
constexpr Millis kHoldPause = Millis(20);
// A request that waits for room keeps to its choice for this long, as choosing
// among all instances costs a hundred times as much as looking at one.
constexpr Millis kChoiceLifetime = Millis(80);
// A resumable answer that pauses for so many times its longest pause is taken
// to another upstream, before its caller gives up.
constexpr int kStallFactor = 4;
constexpr Millis kLeastStall = Millis(1'200);
// About what the headers of a request take on the link.
constexpr Bytes kHeaderBytes = Bytes(600);

std::string Seconds(Millis time) {
  constexpr double kMillisPerSecond = 1'000;
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f",
                static_cast<double>(time.count()) / kMillisPerSecond);
  return text;
}

bool IsSuccess(int status) {
  return status >= kStatusOk && status < kStatusMultipleChoices;
}

// The parts that a request shares with others: all but its own last one.
policy::PlaceRequest PlaceRequestOf(const PromptShape& prompt, bool engine) {
  policy::PlaceRequest request;
  request.engine_ = engine;
  uint64_t hash = 0;
  for (size_t i = 0; i + 1 < prompt.parts_.size(); ++i) {
    const uint64_t pair[2] = {hash, prompt.parts_[i].id_};
    hash = XXH3_64bits(pair, sizeof(pair));
    request.shared_.push_back({hash, prompt.parts_[i].tokens_});
  }
  const Tokens shared = request.SharedTokens();
  request.own_ = prompt.prompt_ > shared ? prompt.prompt_ - shared : Tokens(0);
  return request;
}

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(ExchangeContext& context,
           web::IncomingCall call,
           std::shared_ptr<web::Responder> responder)
      : context_(context),
        call_(std::move(call)),
        responder_(std::move(responder)),
        number_(++context.calls_),
        arrived_(context.boot_.Now()),
        facts_(context.dialect_.read_call_(call_)),
        deadline_timer_(context.io_.get_executor()),
        pause_timer_(context.io_.get_executor()) {}

  void Start() {
    context_.metrics_.Add("bergamot_gateway_requests");
    context_.link_.Received(RequestBytes() + kHeaderBytes, Now());
    if (facts_.id_.empty()) {
      Refuse(kStatusBadRequest, "no request id", false);
      return;
    }
    table_ = context_.control_.table_.Read();
    if (table_ == nullptr) {
      Refuse(kStatusUnavailable, "no configuration yet", true);
      return;
    }
    route_ = table_->FindRoute(call_.host_, call_.target_);
    if (route_ == nullptr || route_->groups_.empty()) {
      Deny(kStatusNotFound, "no such route");
      return;
    }
    if (!CheckKey()) {
      return;
    }
    time_limit_ = facts_.patience_ > Millis(0)
                      ? std::min(facts_.patience_, route_->timeout_)
                      : route_->timeout_;
    digest_ = policy::DigestOf(call_.target_, facts_.key_ + call_.body_);
    if (context_.quarantine_.Check(digest_, Now()) ==
        policy::Suspicion::kConvicted) {
      Refuse(kStatusUnavailable, "quarantined: it crashes upstreams", true);
      return;
    }
    group_ = route::ChooseGroup(*route_, facts_.id_.value());
    const route::Service* service = table_->FindService(group_);
    place_ = PlaceRequestOf(facts_.prompt_,
                            service != nullptr && service->memory_ > Tokens(0));
    if (place_.engine_) {
      room_rule_.tightest_target_ = table_->TightestTargetBefore(group_, rank_);
    }
    splitter_.set_last_id(facts_.last_event_);
    context_.retries_.OnRequest(group_, Now());
    StartDeadline();
    FindUpstream();
  }

  void CallerLeft() {
    if (ended_) {
      return;
    }
    caller_left_ = true;
    Log("caller_left").Write();
    context_.metrics_.Add("bergamot_gateway_callers_left");
    // A call that may not be repeated and has been sent runs to its end, as
    // cutting it would leave its effect unknown.
    if (sends_ > 0 && route_->kind_ == CallKind::kAtMostOnce) {
      return;
    }
    End();
  }

  void Writable() {
    if (connection_ != nullptr) {
      connection_->Resume();
    }
  }

 private:
  // A log line of this request with what all of them have.
  class RequestLine {
   public:
    RequestLine(Exchange& exchange, std::string_view event)
        : exchange_(exchange), line_(event) {
      line_.Add("request", exchange.facts_.id_.value());
      line_.Add("call", exchange.number_);
      line_.Add("age_ms", (exchange.Now() - exchange.arrived_).count());
    }
    template <typename Value>
    RequestLine& Add(std::string_view name, Value value) {
      line_.Add(name, value);
      return *this;
    }
    void Write() { exchange_.context_.log_.Write(line_); }

   private:
    Exchange& exchange_;
    LogLine line_;
  };

  RequestLine Log(std::string_view event) { return {*this, event}; }
  Millis Now() const { return context_.boot_.Now(); }
  Millis TimeLeft() const { return time_limit_ - (Now() - arrived_); }
  Millis TableAge() const { return context_.control_.TableAge(Now()); }

  // @return false if the request has been refused.
  bool CheckKey() {
    if (!table_->NeedsKey(*route_)) {
      rank_ = route::RankOf(*route_, nullptr);
      return true;
    }
    const route::KeyHolder* holder = table_->FindKey(facts_.key_);
    if (holder == nullptr) {
      Deny(kStatusUnauthorized, "unknown key");
      return false;
    }
    if (TableAge() > context_.freshness_.key_lease_) {
      Refuse(kStatusUnavailable, "keys not confirmed lately", true);
      return false;
    }
    workspace_ = holder->workspace_;
    rank_ = route::RankOf(*route_, holder);
    return true;
  }

  // Denies what the newest table does not allow, if it is fresh enough to know.
  void Deny(int status, const char* reason) {
    if (TableAge() > context_.freshness_.denial_) {
      Refuse(kStatusUnavailable, "configuration not confirmed lately", true);
    } else {
      Refuse(status, reason, false);
    }
  }

  void StartDeadline() {
    deadline_timer_.StartLimit(time_limit_, [self = shared_from_this()] {
      if (!self->ended_) {
        self->GiveUp("timeout");
      }
    });
  }

  void FindUpstream() {
    if (TimeLeft() < kLeastTimeLeft) {
      GiveUp("no time left");
      return;
    }
    if (!ChooseUpstream()) {
      Hold();
      return;
    }
    if (!LinkHasRoom() || !EngineHasRoom()) {
      WaitForRoom();
      return;
    }
    TakeUpstream();
  }

  // @return false if no upstream is usable now.
  bool ChooseUpstream() {
    chosen_at_ = Now();
    place_.patience_ = policy::PatienceAfter(Now() - arrived_, route_->target_);
    return context_.upstreams_.Choose(group_, place_, tried_, &choice_);
  }

  // @return whether so little is ahead in this machine's link that more urgent
  // requests behind this one can still be on time.
  bool LinkHasRoom() const {
    return context_.link_.HasRoom(RequestBytes(), Now());
  }

  // @return the same of the chosen engine.
  bool EngineHasRoom() const {
    const double allowed = policy::TokensAllowedAhead(
        room_rule_, choice_.unread_tokens_, choice_.reads_again_);
    return allowed < 0 || began_answer_ || choice_.unread_ahead_ <= allowed;
  }

  Bytes RequestBytes() const {
    return Bytes(static_cast<int64_t>(call_.body_.size()));
  }

  void WaitForRoom() {
    policy::WaitingRequest waiting;
    waiting.priority_ = rank_.priority_;
    waiting.route_priority_ = rank_.route_priority_;
    waiting.due_ = arrived_ + route_->target_;
    room_id_ = context_.room_.Wait(
        waiting, [self = shared_from_this()] { return self->TryRoom(); });
    in_room_ = true;
    context_.metrics_.Add("bergamot_gateway_waited");
    Log("waits_for_room")
        .Add("route", route_->name_)
        .Add("priority", int64_t{rank_.priority_})
        .Add("route_priority", int64_t{rank_.route_priority_})
        .Add("upstream", choice_.upstream_.id_.value())
        .Add("unread_ahead", static_cast<int64_t>(choice_.unread_ahead_))
        .Add("unread_tokens", static_cast<int64_t>(choice_.unread_tokens_))
        .Add("link_backlog_ms", context_.link_.Backlog(Now()).count())
        .Add("waiting", static_cast<int64_t>(context_.room_.size()))
        .Add("upstreams_age_ms", context_.control_.UpstreamsAge(Now()).count())
        .Write();
  }

  // @return whether the request no longer waits.
  bool TryRoom() {
    if (ended_) {
      return true;
    }
    if (!LinkHasRoom()) {
      return false;
    }
    const bool keeps_choice = Now() - chosen_at_ < kChoiceLifetime &&
                              context_.upstreams_.Refresh(&choice_);
    if ((!keeps_choice && !ChooseUpstream()) || !EngineHasRoom()) {
      return false;
    }
    in_room_ = false;
    TakeUpstream();
    return true;
  }

  void TakeUpstream() {
    context_.upstreams_.Begin(choice_, place_);
    at_upstream_ = true;
    prompt_read_ = false;
    // A further send takes no chance with a connection that may have gone
    // silent while it was idle.
    const bool fresh = sends_ > 0;
    context_.upstreams_.Connect(
        choice_.upstream_, fresh,
        [self = shared_from_this()](ConnectionResult result) {
          self->OnConnection(std::move(result));
        });
  }

  // No upstream is usable now: they may be back or known in a moment.
  void Hold() {
    const Millis limit = route_->target_ / kHoldShare;
    if (Now() - arrived_ > limit || (sends_ > 0 && !tried_.empty())) {
      GiveUp("no usable upstream");
      return;
    }
    if (!held_) {
      held_ = true;
      Log("held")
          .Add("route", route_->name_)
          .Add("reason", "no usable upstream")
          .Add("upstreams_age_ms",
               context_.control_.UpstreamsAge(Now()).count())
          .Write();
    }
    pause_timer_.Start(kHoldPause, [self = shared_from_this()] {
      if (!self->ended_) {
        self->FindUpstream();
      }
    });
  }

  void OnConnection(ConnectionResult result) {
    if (ended_) {
      return;
    }
    if (result.connection_ == nullptr) {
      Log("unreachable")
          .Add("upstream", choice_.upstream_.id_.value())
          .Add("reason", result.reason_)
          .Write();
      LeaveUpstream(CallOutcome::kUnreachable);
      tried_.push_back(choice_.upstream_);
      ++unreachable_;
      if (unreachable_ >= kMaxSends) {
        GiveUp("upstreams unreachable");
      } else {
        FindUpstream();
      }
      return;
    }
    connection_ = std::move(result.connection_);
    if (!MayStillSend()) {
      return;
    }
    Send(result.reused_);
  }

  // Time has passed since the checks on arrival; a process that was suspended
  // goes on here.
  // @return false if the request has been ended.
  bool MayStillSend() {
    if (TimeLeft() < kLeastTimeLeft) {
      LeaveUpstream(CallOutcome::kAbandoned);
      GiveUp("no time left");
      return false;
    }
    if (!context_.upstreams_.IsUsable(choice_.upstream_)) {
      LeaveUpstream(CallOutcome::kAbandoned);
      FindUpstream();
      return false;
    }
    const auto newest = context_.control_.table_.Read();
    const bool changed = newest != table_;
    if (changed && !AllowedBy(*newest)) {
      LeaveUpstream(CallOutcome::kAbandoned);
      GiveUp("configuration changed");
      return false;
    }
    if (table_->NeedsKey(*route_) &&
        TableAge() > context_.freshness_.key_lease_) {
      LeaveUpstream(CallOutcome::kAbandoned);
      GiveUp("keys not confirmed lately");
      return false;
    }
    return true;
  }

  // @return whether a newer table still sends this request to its group.
  bool AllowedBy(const route::RouteTable& table) const {
    const route::Route* route = table.FindRoute(call_.host_, call_.target_);
    if (route == nullptr ||
        route::ChooseGroup(*route, facts_.id_.value()) != group_) {
      return false;
    }
    if (!table.NeedsKey(*route)) {
      return true;
    }
    const route::KeyHolder* holder = table.FindKey(facts_.key_);
    return holder != nullptr && workspace_.has_value() &&
           holder->workspace_ == *workspace_;
  }

  void Send(bool reused) {
    SendFacts facts;
    facts.time_left_ = TimeLeft();
    facts.upstream_ = choice_.upstream_.id_;
    facts.workspace_ = workspace_;
    facts.priority_ = rank_.priority_;
    facts.resume_after_ = began_answer_ ? splitter_.last_id() : std::string();
    web::OutgoingCall outgoing;
    outgoing.method_ = call_.method_;
    outgoing.target_ = call_.target_;
    outgoing.headers_ = context_.dialect_.write_headers_(call_.headers_, facts);
    const bool may_send_again = sends_ + 1 < kMaxSends;
    outgoing.body_ = may_send_again ? call_.body_ : std::move(call_.body_);
    ++sends_;
    ++executions_;
    body_.clear();
    Log("send")
        .Add("route", route_->name_)
        .Add("upstream", choice_.upstream_.id_.value())
        .Add("send", int64_t{sends_})
        .Add("may_repeat", int64_t{route_->repeatable() ? 1 : 0})
        .Add("reused", int64_t{reused ? 1 : 0})
        .Add("running", int64_t{choice_.running_})
        .Add("unread_ahead", static_cast<int64_t>(choice_.unread_ahead_))
        .Add("unread_tokens", static_cast<int64_t>(choice_.unread_tokens_))
        .Add("config", table_->version())
        .Add("config_age_ms", TableAge().count())
        .Add("upstreams_age_ms", context_.control_.UpstreamsAge(Now()).count())
        .Write();
    context_.link_.Sent(
        Bytes(static_cast<int64_t>(outgoing.body_.size())) + kHeaderBytes,
        Now());
    connection_->Send(std::move(outgoing), Hooks());
  }

  web::CallHooks Hooks() {
    const std::weak_ptr<Exchange> weak = weak_from_this();
    web::CallHooks hooks;
    hooks.is_ours_ = [weak](const web::AnswerHead& head) {
      const auto self = weak.lock();
      return self == nullptr || self->IsOurs(head);
    };
    hooks.on_head_ = [weak](const web::AnswerHead& head) {
      if (const auto self = weak.lock()) {
        self->OnHead(head);
      }
    };
    hooks.on_body_ = [weak](std::string bytes) {
      const auto self = weak.lock();
      return self == nullptr || self->OnBody(std::move(bytes));
    };
    // Holds the exchange until the call has ended.
    hooks.on_end_ = [self = shared_from_this()](const web::CallEnd& end) {
      if (!self->ended_) {
        self->OnEnd(end);
      }
    };
    return hooks;
  }

  bool IsOurs(const web::AnswerHead& head) {
    answer_ = context_.dialect_.read_answer_(head);
    const bool ours =
        answer_.request_.empty() || answer_.request_ == facts_.id_;
    if (!ours) {
      Log("foreign_answer_dropped")
          .Add("upstream", choice_.upstream_.id_.value())
          .Add("answers", answer_.request_.value())
          .Write();
      context_.metrics_.Add("bergamot_gateway_foreign_answers");
    }
    return ours;
  }

  // The facts of the head are known from IsOurs().
  void OnHead(const web::AnswerHead& head) { head_ = head; }

  // @return whether the answer is passed on while it comes.
  bool Streams() const {
    return route_->kind_ == CallKind::kStream && IsSuccess(head_.status_) &&
           IsGenuine();
  }

  bool IsGenuine() const {
    return answer_.vouched_ && answer_.request_ == facts_.id_;
  }

  bool OnBody(std::string bytes) {
    context_.link_.Received(Bytes(static_cast<int64_t>(bytes.size())), Now());
    if (!prompt_read_) {
      prompt_read_ = true;
      first_byte_ = Now();
      context_.upstreams_.PromptRead(choice_);
      context_.room_.Kick();
    }
    if (!Streams()) {
      body_ += bytes;
      return true;
    }
    std::string events = splitter_.Take(bytes);
    if (events.empty()) {
      return true;
    }
    WatchStall();
    return PassOn(std::move(events));
  }

  bool PassOn(std::string events) {
    if (caller_left_) {
      return true;
    }
    if (!began_answer_) {
      began_answer_ = true;
      context_.metrics_.Observe(
          "bergamot_gateway_first_event_ms", route_->name_,
          static_cast<double>((Now() - arrived_).count()));
      responder_->BeginStream(head_.status_, head_.headers_);
    }
    context_.link_.Sent(Bytes(static_cast<int64_t>(events.size())), Now());
    return responder_->Write(std::move(events));
  }

  // A resumable answer that has stopped coming goes on elsewhere.
  void WatchStall() {
    if (!route_->resumable_ || executions_ >= route_->max_attempts_) {
      return;
    }
    const Millis stall =
        std::max(route_->gap_target_ * kStallFactor, kLeastStall);
    pause_timer_.StartLimit(stall, [self = shared_from_this()] {
      if (!self->ended_ && self->at_upstream_) {
        self->OnStalled();
      }
    });
  }

  void OnStalled() {
    LeaveUpstream(CallOutcome::kBroken);
    AfterFailure(Verdict::kMayHaveRun, "the answer stalled", false);
  }

  void OnEnd(const web::CallEnd& end) {
    pause_timer_.Cancel();
    if (!end.complete_) {
      OnBroken(end);
      return;
    }
    if (IsSuccess(head_.status_) && IsGenuine()) {
      Succeed();
      return;
    }
    if (answer_.not_run_ || answer_.other_instance_) {
      --executions_;
      const char* reason =
          answer_.other_instance_ ? "another instance answered" : "rejected";
      LeaveUpstream(CallOutcome::kRejected);
      AfterFailure(Verdict::kNotRun, reason, false);
      return;
    }
    const bool own_failure = IsSuccess(head_.status_) || !IsGenuine();
    LeaveUpstream(head_.status_ >= kStatusServerError || own_failure
                      ? CallOutcome::kFailed
                      : CallOutcome::kServed);
    AfterFailure(Verdict::kMayHaveRun,
                 own_failure ? "the answer is not genuine" : "upstream error",
                 !own_failure);
  }

  void Succeed() {
    LeaveUpstream(CallOutcome::kServed);
    NoteCompleted();
    Log("answered")
        .Add("route", route_->name_)
        .Add("status", int64_t{head_.status_})
        .Add("upstream", choice_.upstream_.id_.value())
        .Add("sends", int64_t{sends_})
        .Add("first_byte_ms", (first_byte_ - arrived_).count())
        .Write();
    context_.metrics_.Add("bergamot_gateway_answered");
    context_.metrics_.Observe("bergamot_gateway_answer_ms", route_->name_,
                              static_cast<double>((Now() - arrived_).count()));
    if (!caller_left_) {
      if (Streams()) {
        const std::string rest = splitter_.TakeRest();
        if (!began_answer_ || !rest.empty()) {
          PassOn(rest);
        }
        responder_->EndStream();
      } else {
        responder_->Reply(head_.status_, head_.headers_, std::move(body_));
      }
    }
    End();
  }

  // The connection ended before the whole answer was here.
  void OnBroken(const web::CallEnd& end) {
    const std::string reason =
        end.malformed_ ? "the answer is no HTTP" : end.error_.message();
    LeaveUpstream(CallOutcome::kBroken);
    if (!end.malformed_) {
      NoteIfCrashed();
    }
    AfterFailure(Verdict::kMayHaveRun, reason.c_str(), false);
  }

  // An upstream that crashed takes no connection either; one that only broke
  // this connection does, and its request is not to blame.
  void NoteIfCrashed() {
    const UpstreamKey upstream = choice_.upstream_;
    context_.upstreams_.Connect(
        upstream, true,
        [self = shared_from_this(), upstream](ConnectionResult result) {
          if (result.connection_ == nullptr) {
            self->NoteCrash(upstream);
          } else {
            self->context_.upstreams_.GiveBack(upstream,
                                               std::move(result.connection_));
          }
        });
  }

  void NoteCrash(const UpstreamKey& upstream) {
    Log("crash_suspected")
        .Add("upstream", upstream.id_.value())
        .Add("was_suspect", int64_t{was_suspect_ ? 1 : 0})
        .Write();
    const auto changed = context_.quarantine_.OnCrash(
        {policy::RunningDigest{digest_, was_suspect_}}, Now(),
        policy::CrashSourceOf(upstream.id_));
    was_suspect_ = true;
    if (!changed.empty()) {
      context_.spread_suspicion_();
    }
  }

  void NoteCompleted() {
    if (context_.quarantine_.Check(digest_, Now()) !=
        policy::Suspicion::kClear) {
      context_.quarantine_.OnCompleted(
          policy::RunningDigest{digest_, was_suspect_}, Now());
      context_.spread_suspicion_();
    }
  }

  void AfterFailure(Verdict verdict, const char* reason, bool has_answer) {
    FailedSend failed;
    failed.verdict_ = verdict;
    failed.repeatable_ = route_->repeatable();
    failed.executions_ = executions_;
    failed.max_attempts_ = route_->max_attempts_;
    failed.sends_ = sends_;
    failed.time_left_ = TimeLeft();
    tried_.push_back(choice_.upstream_);
    // Bytes behind the last whole event are sent again by the next upstream.
    splitter_.TakeRest();
    const bool convicted = context_.quarantine_.Check(digest_, Now()) ==
                           policy::Suspicion::kConvicted;
    const bool can_go_on = !began_answer_ || !splitter_.last_id().empty();
    const bool again = !caller_left_ && !convicted && can_go_on &&
                       ChooseNextStep(failed) == NextStep::kSendAgain &&
                       context_.retries_.TryRetry(group_, Now());
    Log(again ? "send_again" : "send_failed")
        .Add("upstream", choice_.upstream_.id_.value())
        .Add("reason", reason)
        .Add("status", int64_t{head_.status_})
        .Add("verdict", VerdictName(verdict))
        .Write();
    if (again) {
      context_.metrics_.Add("bergamot_gateway_sent_again");
      FindUpstream();
    } else if (has_answer && !began_answer_) {
      PassOnFailure();
    } else {
      GiveUp(reason);
    }
  }

  // The upstream's own failure goes to the caller as it is.
  void PassOnFailure() {
    context_.metrics_.Add("bergamot_gateway_upstream_errors");
    if (!caller_left_) {
      responder_->Reply(head_.status_, head_.headers_, std::move(body_));
    }
    End();
  }

  // Ends the request without an answer of an upstream, truthfully: "not run"
  // only if no send may have run.
  void GiveUp(const char* reason) {
    const bool sending = at_upstream_ && connection_ != nullptr && sends_ > 0;
    if (at_upstream_) {
      LeaveUpstream(CallOutcome::kAbandoned);
    }
    const bool may_have_run = executions_ > 0;
    if (began_answer_) {
      Log("answer_broken_off").Add("reason", reason).Write();
      context_.metrics_.Add("bergamot_gateway_broken_off");
      responder_->Abort();
      End();
    } else if (may_have_run) {
      const bool timed_out = sending && TimeLeft() <= Millis(0);
      Refuse(timed_out ? kStatusGatewayTimeout : kStatusBadGateway, reason,
             false);
    } else {
      Refuse(kStatusUnavailable, reason, true);
    }
  }

  void Refuse(int status, const char* reason, bool come_back) {
    Log("refused")
        .Add("status", int64_t{status})
        .Add("reason", reason)
        .Add("route", route_ == nullptr ? "" : route_->name_.c_str())
        .Add("verdict", VerdictName(executions_ > 0 ? Verdict::kMayHaveRun
                                                    : Verdict::kNotRun))
        .Add("config_age_ms", TableAge().count())
        .Write();
    context_.metrics_.Add("bergamot_gateway_refused", std::to_string(status));
    if (!caller_left_) {
      web::HeaderList headers;
      headers.Add("Content-Type", "text/plain");
      if (come_back) {
        headers.Add("Retry-After", Seconds(RetryAfter()));
      }
      responder_->Reply(status, headers, std::string(reason) + "\n");
    }
    End();
  }

  Millis RetryAfter() const {
    if (facts_.patience_ <= Millis(0)) {
      return kRetryAfter;
    }
    const Millis left = facts_.patience_ - (Now() - arrived_);
    return std::max(std::min(kRetryAfter, left / (kRetryAfterShare + 1)),
                    Millis(0));
  }

  void LeaveUpstream(CallOutcome outcome) {
    if (!at_upstream_) {
      return;
    }
    at_upstream_ = false;
    context_.upstreams_.End(choice_, prompt_read_, outcome);
    context_.room_.Kick();
    if (connection_ != nullptr) {
      if (connection_->usable()) {
        context_.upstreams_.GiveBack(choice_.upstream_, std::move(connection_));
      }
      connection_.reset();
    }
  }

  void End() {
    if (ended_) {
      return;
    }
    ended_ = true;
    LeaveUpstream(CallOutcome::kAbandoned);
    if (in_room_) {
      context_.room_.Leave(room_id_);
    }
    deadline_timer_.Cancel();
    pause_timer_.Cancel();
    responder_.reset();
  }

  ExchangeContext& context_;
  web::IncomingCall call_;
  std::shared_ptr<web::Responder> responder_;
  const int64_t number_;
  const Millis arrived_;
  const CallFacts facts_;
  web::OneShotTimer deadline_timer_;
  web::OneShotTimer pause_timer_;
  std::shared_ptr<const route::RouteTable> table_;
  const route::Route* route_ = nullptr;
  GroupId group_;
  std::optional<WorkspaceId> workspace_;
  route::Rank rank_;
  Millis time_limit_;
  uint64_t digest_ = 0;
  policy::PlaceRequest place_;
  UpstreamSet::Choice choice_;
  std::vector<UpstreamKey> tried_;
  std::unique_ptr<web::ClientConnection> connection_;
  web::AnswerHead head_;
  AnswerFacts answer_;
  EventSplitter splitter_;
  std::string body_;
  Millis first_byte_;
  Millis chosen_at_;
  int sends_ = 0;
  int executions_ = 0;  // sends that may have run
  int unreachable_ = 0;
  policy::RoomRule room_rule_;
  uint64_t room_id_ = 0;
  bool in_room_ = false;
  bool held_ = false;  // has been, once
  bool at_upstream_ = false;
  bool prompt_read_ = false;
  bool began_answer_ = false;
  bool was_suspect_ = false;
  bool caller_left_ = false;
  bool ended_ = false;
};

}  // namespace

web::SessionLimits SessionLimitsOf(const route::CallerLimits& limits) {
  return {limits.max_header_, limits.max_body_, limits.header_timeout_,
          limits.idle_timeout_};
}

web::CallerHooks StartExchange(ExchangeContext& context,
                               web::IncomingCall call,
                               std::shared_ptr<web::Responder> responder) {
  const auto exchange = std::make_shared<Exchange>(context, std::move(call),
                                                   std::move(responder));
  exchange->Start();
  web::CallerHooks hooks;
  hooks.on_left_ = [exchange] { exchange->CallerLeft(); };
  hooks.on_writable_ = [exchange] { exchange->Writable(); };
  return hooks;
}

}  // namespace bergamotscale::gateway
