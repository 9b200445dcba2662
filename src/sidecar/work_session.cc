#include "src/sidecar/work_session.h"

#include <utility>

#include <xxhash.h>

namespace bergamotscale::sidecar {
namespace {

using timeline::EventType;

uint64_t ComputeDigest(const wire::Work& work) {
  const std::string text = work.method_ + "\n" + work.path_ + "\n" + work.body_;
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

WorkSession::WorkSession(SessionContext& context,
                         link::Stream stream,
                         EndHook on_end)
    : context_(context),
      stream_(std::move(stream)),
      on_end_(std::move(on_end)) {}

link::StreamHooks WorkSession::Hooks() {
  std::weak_ptr<WorkSession> weak = weak_from_this();
  link::StreamHooks hooks;
  hooks.on_message_ = [weak](std::string_view frame) {
    if (auto self = weak.lock()) {
      self->OnMessage(frame);
    }
  };
  hooks.on_end_ = [weak](link::StreamEnd end) {
    if (auto self = weak.lock()) {
      self->OnStreamEnd(end);
    }
  };
  return hooks;
}

void WorkSession::OnUpstreamSilent(Millis silence) {
  if (state_ == State::kRunning) {
    execution_->FailIfSilent(silence);
  }
}

void WorkSession::OnMessage(std::string_view frame) {
  const Result<wire::MessageType> type = wire::PeekType(frame);
  if (type.ok() && type.value() == wire::MessageType::kReserve &&
      state_ == State::kNew) {
    OnReserve(frame);
  } else if (type.ok() && type.value() == wire::MessageType::kWork &&
             state_ == State::kGranted) {
    OnWork(frame);
  } else if (state_ == State::kNew) {
    Refuse(ErrorCode::kProtocolError, Verdict::kNotExecuted, Millis(0));
  }
}

// Only an order continues after its caller has disconnected: its outcome is
// recorded, so that a retry gets the response.
void WorkSession::OnStreamEnd(link::StreamEnd end) {
  const bool half_closed = end == link::StreamEnd::kFinished;
  const bool has_work = state_ == State::kClaiming || state_ == State::kRunning;
  if (state_ == State::kEnded || (half_closed && has_work)) {
    return;
  }
  if (state_ == State::kRunning && is_order()) {
    return;
  }
  if (state_ == State::kClaiming) {
    context_.executor_.CancelAttempt(attempt_);
  }
  const bool running = state_ == State::kRunning;
  context_.timeline_.Add(
      running ? EventType::kCancelled : EventType::kWithdrawn,
      reserve_message_.request_id_, reserve_message_.entry_);
  execution_.reset();
  End(running ? TicketEnd::kCancelled : TicketEnd::kNotStarted);
}

void WorkSession::OnReserve(std::string_view frame) {
  const Result<wire::Reserve> reserve = wire::Decode<wire::Reserve>(frame);
  if (!reserve.ok()) {
    Refuse(reserve.error(), Verdict::kNotExecuted, Millis(0));
    return;
  }
  reserve_message_ = reserve.value();
  context_.timeline_.Observe(reserve_message_.sent_);
  state_ = State::kWaiting;
  context_.timeline_.Add(EventType::kQueued, reserve_message_.request_id_,
                         reserve_message_.entry_);
  std::weak_ptr<WorkSession> weak = weak_from_this();
  TicketHooks hooks;
  hooks.on_granted_ = [weak] {
    if (auto self = weak.lock()) {
      self->OnGranted();
    }
  };
  hooks.on_refused_ = [weak](ErrorCode code, Millis retry_after) {
    if (auto self = weak.lock()) {
      self->Refuse(code, Verdict::kNotExecuted, retry_after);
    }
  };
  ticket_ = context_.scheduler_.Enqueue(reserve_message_, std::move(hooks));
}

void WorkSession::OnGranted() {
  state_ = State::kGranted;
  context_.timeline_.Add(EventType::kOffered, reserve_message_.request_id_,
                         reserve_message_.entry_);
  wire::Granted granted;
  granted.request_id_ = reserve_message_.request_id_;
  granted.sent_ = context_.timeline_.Now();
  stream_.Send(wire::Encode(granted));
}

ErrorCode WorkSession::CheckWork(const wire::Work& work) const {
  if (work.request_id_ != reserve_message_.request_id_) {
    return ErrorCode::kProtocolError;
  }
  const bool needs_key = context_.settings_.kind_ == GroupKind::kService &&
                         !work.idempotent_ && work.key_.empty();
  return needs_key ? ErrorCode::kMissingIdempotencyKey : ErrorCode::kOk;
}

void WorkSession::OnWork(std::string_view frame) {
  Result<wire::Work> work = wire::Decode<wire::Work>(frame);
  const ErrorCode fault =
      work.ok() ? CheckWork(work.value()) : work.error().code_;
  if (fault != ErrorCode::kOk) {
    Refuse(fault, Verdict::kNotExecuted, Millis(0));
    return;
  }
  context_.timeline_.Observe(work.value().sent_);
  if (!context_.scheduler_.Start(ticket_)) {
    Refuse(ErrorCode::kCancelled, Verdict::kNotExecuted, Millis(0));
    return;
  }
  work_ = std::move(work).value();
  if (is_order()) {
    Claim();
  } else {
    Execute();
  }
}

void WorkSession::Claim() {
  state_ = State::kClaiming;
  // This reference ends when the executor drops the hooks: when the attempt
  // proceeds or is cancelled.
  auto self = shared_from_this();
  orders::OrderHooks hooks;
  hooks.execute_ = [self](const orders::ClaimId& claim) {
    self->OnClaimWon(claim);
  };
  hooks.replay_ = [self](const orders::Outcome& outcome) {
    self->Replay(outcome);
  };
  hooks.refuse_ = [self](const Error& error, Verdict verdict) {
    self->Refuse(error, verdict, Millis(0));
  };
  const orders::OrderKey key{reserve_message_.workspace_, work_.key_};
  context_.timeline_.Add(EventType::kClaimAppended,
                         reserve_message_.request_id_);
  attempt_ =
      context_.executor_.Begin(key, ComputeDigest(work_), std::move(hooks));
}

void WorkSession::OnClaimWon(const orders::ClaimId& claim) {
  claim_ = claim;
  context_.timeline_.Add(EventType::kClaimWon, reserve_message_.request_id_,
                         InstanceId(), claim.value());
  Execute();
}

void WorkSession::Replay(const orders::Outcome& outcome) {
  context_.timeline_.Add(EventType::kClaimLost, reserve_message_.request_id_,
                         InstanceId(), "replayed");
  const std::string& sent_text = work_.resume_text_;
  if (outcome.text_.compare(0, sent_text.size(), sent_text) != 0) {
    Refuse(Error(ErrorCode::kProtocolError, "the caller has another answer"),
           Verdict::kMayHaveExecuted, Millis(0));
    return;
  }
  // An earlier attempt may have sent the caller a part of the text.
  if (outcome.text_.size() > sent_text.size()) {
    SendChunk(outcome.text_.substr(sent_text.size()),
              outcome.output_tokens_ - work_.resume_tokens_);
  }
  wire::Finished finished;
  finished.http_status_ = outcome.http_status_;
  finished.content_type_ = outcome.content_type_;
  finished.body_ = outcome.body_;
  finished.finish_reason_ = outcome.finish_reason_;
  finished.prompt_tokens_ = outcome.prompt_tokens_;
  finished.output_tokens_ = outcome.output_tokens_;
  finished.replayed_ = true;
  SendFinished(finished);
  End(TicketEnd::kNotStarted);
}

void WorkSession::Execute() {
  state_ = State::kRunning;
  context_.timeline_.Add(EventType::kStarted, reserve_message_.request_id_,
                         reserve_message_.entry_);
  context_.metrics_.Add("sidecar_executions_total");
  std::weak_ptr<WorkSession> weak = weak_from_this();
  ExecutionHooks hooks;
  hooks.on_chunk_ = [weak](const std::string& text, Tokens tokens) {
    if (auto self = weak.lock()) {
      self->OnChunk(text, tokens);
    }
  };
  hooks.on_finished_ = [weak](const wire::Finished& finished) {
    if (auto self = weak.lock()) {
      self->OnFinished(finished);
    }
  };
  hooks.on_failed_ = [weak](const Error& error, Verdict verdict) {
    if (auto self = weak.lock()) {
      self->OnFailed(error, verdict);
    }
  };
  execution_ =
      std::make_unique<Execution>(context_.io_, context_.settings_, work_,
                                  reserve_message_.tier_, std::move(hooks));
}

void WorkSession::OnChunk(const std::string& text, Tokens tokens) {
  context_.scheduler_.OnChunk(ticket_, tokens);
  const Bytes kept(static_cast<int64_t>(text_.size()));
  if (is_order() && kept <= context_.settings_.orders_.max_outcome_) {
    text_ += text;
  }
  SendChunk(text, tokens);
}

void WorkSession::OnFinished(const wire::Finished& finished) {
  if (is_order()) {
    RecordOutcome(finished);
  }
  SendFinished(finished);
  End(TicketEnd::kCompleted);
}

// @return whether the upstream accepts no work at the moment.
bool WorkSession::IsUpstreamUnavailable(ErrorCode code, Verdict verdict) {
  const bool unavailable =
      code == ErrorCode::kLeaving || code == ErrorCode::kUpstreamUnreachable;
  return unavailable && verdict == Verdict::kNotExecuted;
}

void WorkSession::OnFailed(const Error& error, Verdict verdict) {
  if (is_order()) {
    RecordFailure(error, verdict);
  }
  if (error.code_ == ErrorCode::kUpstreamFailed) {
    RefuseAfterProbe(error, verdict);
    return;
  }
  if (IsUpstreamUnavailable(error.code_, verdict)) {
    context_.on_upstream_unavailable_();
  }
  Refuse(error, verdict, Millis(0));
}

// The slot is kept until the probe ends, so that this request counts as a
// suspect if the upstream has crashed.
void WorkSession::RefuseAfterProbe(const Error& error, Verdict verdict) {
  const std::weak_ptr<WorkSession> weak = weak_from_this();
  context_.on_upstream_failed_([weak, error, verdict](bool upstream_up) {
    if (const auto self = weak.lock()) {
      self->upstream_responds_ = upstream_up;
      self->Refuse(error, verdict, Millis(0));
    }
  });
}

void WorkSession::RecordOutcome(const wire::Finished& finished) {
  orders::Outcome outcome;
  outcome.http_status_ = finished.http_status_;
  outcome.content_type_ = finished.content_type_;
  outcome.body_ = finished.body_;
  outcome.text_ = text_;
  outcome.finish_reason_ = finished.finish_reason_;
  outcome.prompt_tokens_ = finished.prompt_tokens_;
  outcome.output_tokens_ = finished.output_tokens_;
  context_.executor_.Complete(claim_, std::move(outcome));
  context_.timeline_.Add(EventType::kOutcome, reserve_message_.request_id_);
}

void WorkSession::RecordFailure(const Error& error, Verdict verdict) {
  if (verdict == Verdict::kNotExecuted) {
    context_.executor_.Release(claim_);
    return;
  }
  orders::Outcome outcome;
  outcome.code_ = error.code_;
  context_.executor_.Complete(claim_, std::move(outcome));
}

void WorkSession::Refuse(const Error& error,
                         Verdict verdict,
                         Millis retry_after) {
  if (state_ == State::kEnded) {
    return;
  }
  const char* name = ErrorName(error.code_);
  context_.metrics_.Add("sidecar_refusals_total", name);
  context_.timeline_.Add(EventType::kRefused, reserve_message_.request_id_,
                         reserve_message_.entry_, name);
  wire::Refused refused;
  refused.request_id_ = reserve_message_.request_id_;
  refused.code_ = error.code_;
  refused.verdict_ = verdict;
  refused.retry_after_ = retry_after;
  refused.detail_ = error.detail_;
  refused.sent_ = context_.timeline_.Now();
  // With a claim, or if the key was used for another body, this order is known
  // not to have run before.
  const bool known_not_run =
      !claim_.empty() || error.code_ == ErrorCode::kKeyReusedForOtherBody;
  refused.order_not_executed_ =
      verdict == Verdict::kNotExecuted && known_not_run;
  refused.upstream_responds_ = upstream_responds_;
  stream_.Send(wire::Encode(refused));
  stream_.Finish();
  End(state_ == State::kRunning ? TicketEnd::kCancelled
                                : TicketEnd::kNotStarted);
}

void WorkSession::SendChunk(const std::string& text, Tokens tokens) {
  wire::Chunk chunk;
  chunk.request_id_ = reserve_message_.request_id_;
  chunk.sequence_ = next_sequence_++;
  chunk.text_ = text;
  chunk.tokens_ = tokens;
  stream_.Send(wire::Encode(chunk));
}

void WorkSession::SendFinished(const wire::Finished& finished) {
  wire::Finished message = finished;
  message.request_id_ = reserve_message_.request_id_;
  context_.timeline_.Add(EventType::kFinished, reserve_message_.request_id_,
                         reserve_message_.entry_);
  message.sent_ = context_.timeline_.Now();
  stream_.Send(wire::Encode(message));
  stream_.Finish();
}

void WorkSession::End(TicketEnd end) {
  if (state_ == State::kEnded) {
    return;
  }
  const bool holds_slot = state_ != State::kNew && state_ != State::kWaiting;
  state_ = State::kEnded;
  if (holds_slot) {
    context_.scheduler_.End(ticket_, end);
  } else {
    context_.scheduler_.Withdraw(ticket_);
  }
  on_end_(shared_from_this());
}

}  // namespace bergamotscale::sidecar
