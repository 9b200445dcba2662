#include "src/gateway/exchange_impl.h"

#include <algorithm>
#include <string>

#include "src/gateway/prompt_placement.h"
#include "src/policy/prefix_hasher.h"

namespace bergamotscale::gateway {
namespace {

using route::CallKind;

constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnauthorized = 401;
constexpr int kStatusNotFound = 404;

}  // namespace

void Exchange::Start() {
  context_.metrics_.Add("bergamot_gateway_requests");
  context_.end_exchange_[number_] = [self = shared_from_this()] {
    self->Fail(kStopping);
  };
  context_.link_budget_.RecordReceived(request_body_.size() + kHeaderBytes,
                                       Now());
  if (info_.id_.empty()) {
    Reject(kStatusBadRequest, "no request id", false);
    return;
  }
  table_ = context_.control_.table_.Read();
  if (table_ == nullptr) {
    Reject(kStatusUnavailable, "no configuration yet", true);
    return;
  }
  route_ = table_->FindRoute(call_.host_, call_.target_);
  if (route_ == nullptr || route_->groups_.empty()) {
    RejectUnlisted(kStatusNotFound, "no such route");
    return;
  }
  if (!CheckKey()) {
    return;
  }
  time_limit_ = info_.patience_ > Millis(0)
                    ? std::min(info_.patience_, route_->timeout_)
                    : route_->timeout_;
  digest_ =
      policy::ComputeDigest(call_.target_, info_.key_ + *request_body_.bytes());
  if (const char* reason = FindQuarantine()) {
    Reject(kStatusUnavailable, reason, true);
    return;
  }
  if (!CanEndBeforeStop()) {
    Reject(kStatusUnavailable, kStopping, true);
    return;
  }
  is_take_up_ =
      route_->kind_ == CallKind::kStream && !info_.last_event_id_.empty();
  group_ = route::ChooseGroup(*route_, StreamId().value());
  StartDeadline();
  OpenRequestAccount();
  if (is_take_up_) {
    FindOrigin();
  } else {
    BeginPlacement();
  }
}

const RequestId& Exchange::StreamId() const {
  return is_take_up_ && !info_.resumes_.empty() ? info_.resumes_ : info_.id_;
}

bool Exchange::CheckKey() {
  if (!table_->NeedsKey(*route_)) {
    rank_ = route::ComputeRank(*route_, nullptr);
    return true;
  }
  const route::KeyOwner* holder = table_->FindKey(info_.key_);
  if (holder == nullptr) {
    RejectUnlisted(kStatusUnauthorized, "unknown key");
    return false;
  }
  if (TableAge() > context_.freshness_limits_.max_age_for_keys_) {
    Reject(kStatusUnavailable, "keys not confirmed lately", true);
    return false;
  }
  workspace_ = holder->workspace_;
  rank_ = route::ComputeRank(*route_, holder);
  return true;
}

const char* Exchange::FindQuarantine() const {
  if (context_.quarantine_.Check(digest_, Now()) ==
      policy::CrashStatus::kBlocked) {
    return "quarantined: it crashes upstreams";
  }
  if (context_.part_quarantine_.IsBlocked(shared_parts_, Now())) {
    return "quarantined: a part of its prompt crashes upstreams";
  }
  return nullptr;
}

bool Exchange::CanEndBeforeStop() const {
  return context_.stop_.Allows(
      arrived_, context_.service_time_.LongestUsual(route_->name_), TimeLeft(),
      Now());
}

void Exchange::FindOrigin() {
  const TakeUp take_up{info_.id_, number_, info_.resumes_, route_, group_};
  ResolveTakeUp(context_, take_up,
                [self = shared_from_this()](const TakeUpOutcome& outcome) {
                  if (!self->ended_) {
                    self->OnOrigin(outcome);
                  }
                });
}

void Exchange::OnOrigin(const TakeUpOutcome& outcome) {
  if (outcome.refusal_ != nullptr) {
    retry_at_once_ = true;
    Reject(kStatusUnavailable, outcome.refusal_, true);
    return;
  }
  group_ = outcome.origin_.group_;
  origin_version_ = outcome.origin_.version_;
  BeginPlacement();
}

void Exchange::BeginPlacement() {
  const route::Service* service = table_->FindService(group_);
  placement_request_ = MakePlacementRequest(
      info_.prompt_, service != nullptr && service->kv_capacity_ > Tokens(0));
  placement_request_.version_ = origin_version_;
  placement_request_.begins_stream_ = route_->resumable_ && !is_take_up_;
  if (placement_request_.engine_) {
    placement_request_.short_prompt_ = context_.upstreams_.ClassifyPrompt(
        group_, route_->name_, placement_request_,
        table_->TightestTarget(group_), table_->TightestGapTarget(group_));
    // Where only short prompts go, none makes another one late.
    if (!placement_request_.short_prompt_ ||
        !context_.upstreams_.HasReservedEngines(group_)) {
      admission_rule_.tightest_target_ =
          table_->TightestMoreUrgentTarget(group_, rank_);
    }
  }
  splitter_.set_last_id(info_.last_event_id_);
  context_.retry_budget_.OnRequest(group_, Now());
  FindUpstream();
}

void Exchange::OpenRequestAccount() {
  if (context_.buffers_ != nullptr) {
    request_account_.emplace(
        *context_.buffers_, policy::BufferUse::kRequest,
        GiveUpHook([](Exchange& self) { self.OnRequestGivenUp(); }));
    const route::UrgencyLevel urgency = table_->FindUrgency(rank_);
    request_account_->SetUrgency(urgency.level_, urgency.levels_);
    request_account_->SetSize(
        static_cast<size_t>(request_body_.size().count()) +
        call_.headers_.MemorySize());
  }
}

void Exchange::UpdateRequestUse() {
  if (!request_account_.has_value()) {
    return;
  }
  if (in_flight_) {
    request_account_->SetUse(route_->resumable_
                                 ? policy::BufferUse::kResumableCopy
                                 : policy::BufferUse::kRetryCopy);
  } else {
    request_account_->SetUse(response_started_
                                 ? policy::BufferUse::kInterruptedRequest
                                 : policy::BufferUse::kRequest);
  }
}

void Exchange::OnRequestGivenUp() {
  if (!in_flight_) {
    Fail(kNoMemory);
    return;
  }
  Log("request_body_released")
      .Add("reason", kNoMemory)
      .Add("bytes", request_body_.size().count())
      .Add("upstream", choice_.upstream_.id_.value())
      .Write();
  request_body_.Release();
  request_account_.reset();
}

}  // namespace bergamotscale::gateway
