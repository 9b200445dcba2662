#include "src/gateway/take_up.h"

#include <algorithm>
#include <utility>

namespace bergamotscale::gateway {
namespace {

using policy::OriginSource;

// An upstream has registered within this time of its first connection.
constexpr Millis kRegistrationTime = Millis(100);

policy::OriginDecision Decide(const ExchangeContext& context,
                              const TakeUp& take_up,
                              bool is_store_fresh) {
  const Millis now = context.boot_.Now();
  return context.origins_.Find(take_up.stream_, take_up.group_,
                               context.control_.UpstreamsAge(now),
                               is_store_fresh, now);
}

TakeUpOutcome Conclude(ExchangeContext& context,
                       const TakeUp& take_up,
                       const policy::OriginDecision& decision) {
  const bool is_known = decision.source_ != OriginSource::kUnknown;
  const bool is_served = is_known &&
                         LeadsTo(*take_up.route_, decision.origin_.group_) &&
                         context.upstreams_.HasVersion(decision.origin_);
  context.log_.Write(
      LogLine("take_up")
          .Add("request", take_up.request_.value())
          .Add("call", take_up.call_)
          .Add("stream", take_up.stream_.value())
          .Add("known_by", policy::OriginSourceName(decision.source_))
          .Add("group", decision.origin_.group_.value())
          .Add("version", decision.origin_.version_.value())
          .Add("origin_age_ms", decision.age_.count())
          .Add("served", int64_t{is_served ? 1 : 0})
          .Add("upstreams_age_ms",
               context.control_.UpstreamsAge(context.boot_.Now()).count()));
  context.metrics_.Add("bergamot_gateway_take_ups",
                       policy::OriginSourceName(decision.source_));
  TakeUpOutcome outcome;
  outcome.origin_ = decision.origin_;
  if (!is_served) {
    context.metrics_.Add("bergamot_gateway_take_ups_refused");
    outcome.refusal_ = is_known
                           ? "no upstream has the version that began the stream"
                           : "the version that began the stream is unknown";
  }
  return outcome;
}

}  // namespace

void ResolveTakeUp(ExchangeContext& context,
                   const TakeUp& take_up,
                   std::function<void(const TakeUpOutcome&)> done) {
  const policy::OriginDecision decision = Decide(context, take_up, false);
  if (decision.source_ != OriginSource::kUnknown ||
      context.origin_log_ == nullptr) {
    done(Conclude(context, take_up, decision));
    return;
  }
  context.origin_log_->Refresh(
      [&context, take_up, done = std::move(done)](bool is_fresh) {
        done(Conclude(context, take_up, Decide(context, take_up, is_fresh)));
      });
}

bool IsConfirmed(const ExchangeContext& context, Millis opened_at) {
  return Millis(context.control_.upstreams_as_of_) >=
         opened_at + kRegistrationTime;
}

void RecordOrigin(ExchangeContext& context, const UnconfirmedOrigin& origin) {
  if (!IsConfirmed(context, origin.opened_at_)) {
    context.unconfirmed_origins_.push_back(origin);
  } else if (context.upstreams_.IsListed(origin.upstream_)) {
    context.origins_.OnBegun(origin.stream_, origin.origin_,
                             context.boot_.Now());
    if (context.origin_log_ != nullptr) {
      context.origin_log_->WriteRecords();
    }
  }
}

void ConfirmOrigins(ExchangeContext& context) {
  const auto waiting = std::move(context.unconfirmed_origins_);
  context.unconfirmed_origins_.clear();
  const Millis now = context.boot_.Now();
  for (const UnconfirmedOrigin& origin : waiting) {
    if (now - origin.opened_at_ < policy::StreamOrigins::kStreamLifetime) {
      RecordOrigin(context, origin);
    }
  }
}

bool LeadsTo(const route::Route& route, const GroupId& group) {
  return std::any_of(
      route.groups_.begin(), route.groups_.end(),
      [&group](const auto& item) { return item.group_ == group; });
}

}  // namespace bergamotscale::gateway
