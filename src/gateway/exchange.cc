#include "src/gateway/exchange.h"

#include <utility>

#include "src/gateway/exchange_impl.h"
#include "src/gateway/prompt_placement.h"

namespace bergamotscale::gateway {

Exchange::Exchange(ExchangeContext& context,
                   web::IncomingRequest call,
                   std::shared_ptr<web::Responder> responder)
    : context_(context),
      call_(std::move(call)),
      responder_(std::move(responder)),
      number_(++context.num_calls_),
      arrived_(context.boot_.Now()),
      info_(context.header_codec_.decode_request_(call_)),
      request_body_(std::move(call_.body_)),
      shared_parts_(ListSharedParts(info_.prompt_)),
      deadline_timer_(context.io_.get_executor()),
      pause_timer_(context.io_.get_executor()) {}

void Exchange::OnCallerLeft() {
  if (ended_) {
    return;
  }
  caller_left_ = true;
  Log("caller_left").Write();
  context_.metrics_.Add("bergamot_gateway_callers_left");
  // A non-idempotent request that was already sent runs to its end, because
  // cancelling it would leave its outcome unknown.
  if (sends_ > 0 && route_->kind_ == route::CallKind::kAtMostOnce) {
    return;
  }
  End();
}

void Exchange::OnCallerWritable() {
  if (connection_ != nullptr) {
    connection_->Resume();
    if (std::exchange(is_paused_, false)) {
      StartStallTimer();
    }
  }
}

void Exchange::OnResponseSettled(const char* loss) {
  if (!is_served_) {
    return;
  }
  RequestLine line = Log(loss == nullptr ? "answered" : "answer_lost");
  if (loss != nullptr) {
    line.Add("reason", loss);
  }
  line.Add("route", route_->name_)
      .Add("status", int64_t{response_head_.status_})
      .Add("upstream", choice_.upstream_.id_.value())
      .Add("sends", int64_t{sends_})
      .Add("first_byte_ms", (first_byte_at_ - arrived_).count())
      .Add("served_ms", (served_at_ - arrived_).count())
      .Write();
  context_.metrics_.Add(loss == nullptr ? "bergamot_gateway_answered"
                                        : "bergamot_gateway_answers_lost");
}

void Exchange::StartDeadline() {
  deadline_timer_.StartDeadlineTimer(time_limit_, [self = shared_from_this()] {
    if (!self->ended_) {
      self->Fail("timeout");
    }
  });
}

void Exchange::ReleaseUpstream(CallOutcome outcome) {
  if (!holds_upstream_) {
    return;
  }
  holds_upstream_ = false;
  in_flight_ = false;
  UpdateRequestUse();
  is_paused_ = false;
  ++stall_epoch_;
  DropMove();
  context_.upstreams_.End(choice_, prefill_done_, outcome);
  context_.admission_.RunPassSoon();
  if (connection_ != nullptr) {
    if (connection_->usable()) {
      context_.upstreams_.ReturnConnection(choice_.upstream_,
                                           std::move(connection_));
    }
    connection_.reset();
  }
}

void Exchange::End() {
  if (ended_) {
    return;
  }
  ended_ = true;
  context_.end_exchange_.erase(number_);
  ReleaseUpstream(CallOutcome::kCancelled);
  if (is_queued_) {
    context_.admission_.Dequeue(admission_id_);
  }
  rate_ticket_.reset();
  deadline_timer_.Cancel();
  pause_timer_.Cancel();
  responder_.reset();
  // The caller may take long to read the response, for which this object stays.
  request_body_.Release();
  call_.headers_ = web::HeaderList();
  request_account_.reset();
  response_account_.reset();
}

web::SessionLimits MakeSessionLimits(const route::CallerLimits& limits) {
  return {limits.max_header_, limits.max_body_, limits.header_timeout_,
          limits.idle_timeout_};
}

void EndAllExchanges(ExchangeContext& context) {
  // Each exchange removes itself.
  const auto all = std::move(context.end_exchange_);
  context.end_exchange_.clear();
  for (const auto& [number, end] : all) {
    end();
  }
}

web::CallerHooks StartExchange(ExchangeContext& context,
                               web::IncomingRequest call,
                               std::shared_ptr<web::Responder> responder) {
  const auto exchange = std::make_shared<Exchange>(context, std::move(call),
                                                   std::move(responder));
  exchange->Start();
  web::CallerHooks hooks;
  hooks.on_disconnect_ = [exchange] { exchange->OnCallerLeft(); };
  hooks.on_writable_ = [exchange] { exchange->OnCallerWritable(); };
  hooks.on_settled_ = [exchange](const char* loss) {
    exchange->OnResponseSettled(loss);
  };
  hooks.time_limit_ = exchange->time_limit();
  return hooks;
}

}  // namespace bergamotscale::gateway
