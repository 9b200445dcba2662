#include "src/entry/attempt.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include "src/policy/prefix_hasher.h"

namespace bergamotscale::entry {

using timeline::EventType;

class Attempt::Impl : public std::enable_shared_from_this<Attempt::Impl> {
 public:
  // A reservation at one sidecar and its work stream.
  struct Reservation {
    InstanceId sidecar_;
    link::Stream stream_;
    bool ended_ = false;
  };

  Impl(TrafficContext& traffic,
       const CallerRequest& request,
       AttemptOptions options,
       AttemptHooks hooks)
      : traffic_(traffic),
        request_(request),
        options_(std::move(options)),
        hooks_(std::move(hooks)),
        dispatch_request_(BuildDispatchRequest()) {}

  void Start() {
    const std::vector<policy::UpstreamView>& views =
        traffic_.upstreams_.Views();
    std::vector<policy::UpstreamView> chosen;
    for (const int index :
         traffic_.dispatcher_.Choose(dispatch_request_, views)) {
      chosen.push_back(views[index]);
    }
    for (const policy::UpstreamView& view : chosen) {
      Reserve(view);
    }
    if (reservations_.empty()) {
      traffic_.upstreams_.WidenGroup(dispatch_request_.group_);
      Fail(Error(ErrorCode::kNoUpstream), Verdict::kNotExecuted, Millis(0));
    }
  }

  void Cancel() {
    done_ = true;
    for (Reservation& reservation : reservations_) {
      if (!reservation.ended_) {
        reservation.ended_ = true;
        reservation.stream_.Reset();
        AddEvent(has_sent_work_ ? EventType::kCancelled : EventType::kWithdrawn,
                 reservation.sidecar_);
      }
    }
  }

  bool has_sent_work() const { return has_sent_work_; }

  std::vector<InstanceId> sidecars() const {
    std::vector<InstanceId> sidecars;
    for (const Reservation& reservation : reservations_) {
      sidecars.push_back(reservation.sidecar_);
    }
    return sidecars;
  }

 private:
  policy::DispatchRequest BuildDispatchRequest() const {
    policy::DispatchRequest dispatch_request;
    dispatch_request.class_ = request_.class_.name_;
    dispatch_request.tier_ = request_.class_.tier_;
    dispatch_request.group_ = request_.group_;
    dispatch_request.model_ = request_.model_;
    dispatch_request.prefix_hashes_ = policy::HashPrefixes(request_.prompt_);
    dispatch_request.avoid_ = options_.avoided_sidecars_;
    dispatch_request.suspect_ = options_.suspect_;
    dispatch_request.digest_ = request_.digest_;
    return dispatch_request;
  }

  void AddEvent(EventType type,
                const InstanceId& peer,
                std::string detail = {}) {
    traffic_.timeline_.Add(type, request_.id_, peer, std::move(detail));
  }

  wire::Reserve ReserveMessage() const {
    wire::Reserve reserve;
    reserve.request_id_ = request_.id_;
    reserve.attempt_ = options_.number_;
    reserve.entry_ = traffic_.instance_;
    reserve.workspace_ = request_.workspace_;
    reserve.class_ = request_.class_.name_;
    reserve.tier_ = request_.class_.tier_;
    reserve.group_ = request_.group_;
    reserve.model_ = request_.model_;
    reserve.waited_ = options_.waited_;
    reserve.first_token_target_ = request_.class_.first_token_;
    reserve.between_tokens_target_ = request_.class_.between_tokens_;
    reserve.deadline_left_ = options_.deadline_left_;
    reserve.prompt_tokens_ = request_.prompt_tokens_;
    reserve.expected_output_ = traffic_.output_estimator_.Remaining(
        request_.class_.name_, options_.resume_tokens_);
    reserve.prefix_hashes_ = dispatch_request_.prefix_hashes_;
    reserve.digest_ = request_.digest_;
    reserve.suspect_ = options_.suspect_;
    reserve.sent_ = traffic_.timeline_.Now();
    reserve.resumed_ = options_.resume_tokens_ > Tokens(0);
    return reserve;
  }

  void Reserve(const policy::UpstreamView& view) {
    const size_t index = reservations_.size();
    const std::weak_ptr<Impl> weak = weak_from_this();
    link::StreamHooks hooks;
    hooks.on_message_ = [weak, index](std::string_view frame) {
      if (const std::shared_ptr<Impl> self = weak.lock()) {
        self->OnMessage(index, frame);
      }
    };
    hooks.on_end_ = [weak, index](link::StreamEnd end) {
      if (const std::shared_ptr<Impl> self = weak.lock()) {
        self->OnEnd(index, end);
      }
    };
    Result<link::Stream> stream =
        traffic_.upstreams_.OpenWork(view.sidecar_, std::move(hooks));
    if (!stream.ok()) {
      return;
    }
    reservations_.push_back(Reservation{view.sidecar_, stream.value(), false});
    AddEvent(EventType::kReserved, view.sidecar_,
             "expected wait " + std::to_string(view.expected_wait_.count()) +
                 " ms, " + std::to_string(view.running_) + " running");
    reservations_.back().stream_.Send(wire::Encode(ReserveMessage()));
  }

  void OnMessage(size_t index, std::string_view frame) {
    if (done_ || reservations_[index].ended_) {
      return;
    }
    const Result<wire::MessageType> type = wire::PeekType(frame);
    if (!type.ok()) {
      EndReservation(index, type.error(), VerdictOnLoss(index));
      return;
    }
    switch (type.value()) {
      case wire::MessageType::kGranted:
        OnGranted(index, wire::Decode<wire::Granted>(frame));
        return;
      case wire::MessageType::kChunk:
        OnChunk(index, wire::Decode<wire::Chunk>(frame));
        return;
      case wire::MessageType::kFinished:
        OnFinished(index, wire::Decode<wire::Finished>(frame));
        return;
      case wire::MessageType::kRefused:
        OnRefused(index, wire::Decode<wire::Refused>(frame));
        return;
      default:
        EndReservation(index, Error(ErrorCode::kProtocolError),
                       VerdictOnLoss(index));
    }
  }

  // @return whether a message was decoded and belongs to this request. If not,
  // ends the reservation.
  template <typename Message>
  bool CheckMessage(size_t index, const Result<Message>& message) {
    if (!message.ok()) {
      EndReservation(index, message.error(), VerdictOnLoss(index));
      return false;
    }
    if (message.value().request_id_ == request_.id_) {
      return true;
    }
    traffic_.metrics_.Add("bergamot_foreign_messages_dropped");
    AddEvent(EventType::kDropped, reservations_[index].sidecar_);
    EndReservation(index,
                   Error(ErrorCode::kProtocolError, "foreign request id"),
                   VerdictOnLoss(index));
    return false;
  }

  void OnGranted(size_t index, const Result<wire::Granted>& granted) {
    if (!CheckMessage(index, granted)) {
      return;
    }
    traffic_.timeline_.Observe(granted.value().sent_);
    AddEvent(EventType::kGranted, reservations_[index].sidecar_);
    if (has_sent_work_) {
      EndReservation(index, Error(ErrorCode::kProtocolError, "granted twice"),
                     VerdictOnLoss(index));
      return;
    }
    has_sent_work_ = true;
    work_index_ = index;
    WithdrawOthers();
    SendWork();
  }

  void WithdrawOthers() {
    for (size_t i = 0; i < reservations_.size(); ++i) {
      if (i != work_index_ && !reservations_[i].ended_) {
        reservations_[i].ended_ = true;
        reservations_[i].stream_.Reset();
        AddEvent(EventType::kWithdrawn, reservations_[i].sidecar_);
      }
    }
  }

  void SendWork() {
    wire::Work work;
    work.request_id_ = request_.id_;
    work.method_ = request_.method_;
    work.path_ = request_.path_;
    work.body_ = request_.body_;
    work.stream_ = request_.kind_ == GroupKind::kEngine;
    work.idempotent_ = request_.idempotent_;
    work.key_ = request_.key_;
    work.resume_text_ = options_.resume_text_;
    work.resume_tokens_ = options_.resume_tokens_;
    AddEvent(EventType::kBound, reservations_[work_index_].sidecar_);
    work.sent_ = traffic_.timeline_.Now();
    reservations_[work_index_].stream_.Send(wire::Encode(work));
    NotifyDispatcher();
  }

  // Records in the dispatcher that this upstream now caches the prompt's
  // prefixes.
  void NotifyDispatcher() {
    const std::vector<policy::UpstreamView>& views =
        traffic_.upstreams_.Views();
    const InstanceId& sidecar = reservations_[work_index_].sidecar_;
    const auto found = std::find_if(views.begin(), views.end(),
                                    [&](const policy::UpstreamView& view) {
                                      return view.sidecar_ == sidecar;
                                    });
    if (found != views.end()) {
      traffic_.dispatcher_.OnStarted(dispatch_request_, views,
                                     static_cast<int>(found - views.begin()));
    }
  }

  void OnChunk(size_t index, const Result<wire::Chunk>& chunk) {
    if (!CheckMessage(index, chunk)) {
      return;
    }
    if (chunk.value().sequence_ != next_sequence_) {
      AddEvent(EventType::kDropped, reservations_[index].sidecar_);
      EndReservation(index,
                     Error(ErrorCode::kProtocolError, "chunk out of order"),
                     Verdict::kMayHaveExecuted);
      return;
    }
    ++next_sequence_;
    const std::shared_ptr<Impl> keep_alive = shared_from_this();
    hooks_.on_chunk_(chunk.value());
  }

  void OnFinished(size_t index, const Result<wire::Finished>& finished) {
    if (!CheckMessage(index, finished)) {
      return;
    }
    traffic_.timeline_.Observe(finished.value().sent_);
    done_ = true;
    reservations_[index].ended_ = true;
    reservations_[index].stream_.Finish();
    const std::shared_ptr<Impl> keep_alive = shared_from_this();
    hooks_.on_finished_(finished.value());
  }

  void OnRefused(size_t index, const Result<wire::Refused>& refused) {
    if (!CheckMessage(index, refused)) {
      return;
    }
    traffic_.timeline_.Observe(refused.value().sent_);
    const wire::Refused& message = refused.value();
    retry_after_ = std::max(retry_after_, message.retry_after_);
    order_not_executed_ = message.order_not_executed_;
    upstream_responds_ = message.upstream_responds_;
    EndReservation(index, Error(message.code_, message.detail_),
                   message.verdict_);
  }

  void OnEnd(size_t index, link::StreamEnd end) {
    if (done_ || reservations_[index].ended_) {
      return;
    }
    const ErrorCode code = end == link::StreamEnd::kLost
                               ? ErrorCode::kLinkClosed
                               : ErrorCode::kProtocolError;
    EndReservation(index, Error(code, "stream ended early"),
                   VerdictOnLoss(index));
  }

  // A sidecar that was sent no work can't have executed anything.
  Verdict VerdictOnLoss(size_t index) const {
    const bool has_work = has_sent_work_ && index == work_index_;
    return has_work ? Verdict::kMayHaveExecuted : Verdict::kNotExecuted;
  }

  // Ends one reservation; if none is left, the attempt fails.
  void EndReservation(size_t index, const Error& error, Verdict verdict) {
    Reservation& reservation = reservations_[index];
    reservation.ended_ = true;
    reservation.stream_.Reset();
    failed_sidecars_.push_back(reservation.sidecar_);
    const bool all_ended =
        std::all_of(reservations_.begin(), reservations_.end(),
                    [](const Reservation& other) { return other.ended_; });
    if (all_ended) {
      Fail(error, verdict, retry_after_);
    }
  }

  void Fail(const Error& error, Verdict verdict, Millis retry_after) {
    done_ = true;
    const std::shared_ptr<Impl> keep_alive = shared_from_this();
    hooks_.on_failed_(AttemptFailure{error, verdict, retry_after,
                                     order_not_executed_, upstream_responds_,
                                     failed_sidecars_});
  }

  TrafficContext& traffic_;
  const CallerRequest& request_;
  const AttemptOptions options_;
  const AttemptHooks hooks_;
  const policy::DispatchRequest dispatch_request_;
  std::vector<Reservation> reservations_;
  std::vector<InstanceId> failed_sidecars_;
  bool order_not_executed_ = false;
  bool upstream_responds_ = false;
  Millis retry_after_;
  size_t work_index_ = 0;
  int64_t next_sequence_ = 0;
  bool has_sent_work_ = false;
  bool done_ = false;
};

Attempt::Attempt(TrafficContext& traffic,
                 const CallerRequest& request,
                 AttemptOptions options,
                 AttemptHooks hooks)
    : impl_(std::make_shared<Impl>(traffic,
                                   request,
                                   std::move(options),
                                   std::move(hooks))) {}

Attempt::~Attempt() {
  Cancel();
}

void Attempt::Start() {
  impl_->Start();
}

void Attempt::Cancel() {
  impl_->Cancel();
}

std::vector<InstanceId> Attempt::sidecars() const {
  return impl_->sidecars();
}

bool Attempt::has_sent_work() const {
  return impl_->has_sent_work();
}

}  // namespace bergamotscale::entry
