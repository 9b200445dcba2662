#include "src/entry/attempt.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include "src/policy/prefix_hasher.h"

namespace bergamotscale::entry {

using timeline::EventType;

class Attempt::Impl : public std::enable_shared_from_this<Attempt::Impl> {
 public:
  // One reservation.
  struct Place {
    InstanceId sidecar_;
    link::Stream stream_;
    bool ended_ = false;
  };

  Impl(Traffic& traffic,
       const CallerRequest& request,
       AttemptPlan plan,
       AttemptHooks hooks)
      : traffic_(traffic),
        request_(request),
        plan_(std::move(plan)),
        hooks_(std::move(hooks)),
        wanted_(Wanted()) {}

  void Start() {
    const std::vector<policy::UpstreamView>& views =
        traffic_.upstreams_.Views();
    std::vector<policy::UpstreamView> chosen;
    for (const int index : traffic_.dispatcher_.Choose(wanted_, views)) {
      chosen.push_back(views[index]);
    }
    for (const policy::UpstreamView& view : chosen) {
      Reserve(view);
    }
    if (places_.empty()) {
      traffic_.upstreams_.NeedMore(wanted_.group_);
      Fail(Error(ErrorCode::kNoUpstream), Verdict::kNotRun, Millis(0));
    }
  }

  void Cancel() {
    done_ = true;
    for (Place& place : places_) {
      if (!place.ended_) {
        place.ended_ = true;
        place.stream_.Reset();
        AddEvent(bound_ ? EventType::kCancelled : EventType::kWithdrawn,
                 place.sidecar_);
      }
    }
  }

  bool bound() const { return bound_; }

  std::vector<InstanceId> sidecars() const {
    std::vector<InstanceId> sidecars;
    for (const Place& place : places_) {
      sidecars.push_back(place.sidecar_);
    }
    return sidecars;
  }

 private:
  policy::DispatchRequest Wanted() const {
    policy::DispatchRequest wanted;
    wanted.class_ = request_.class_.name_;
    wanted.tier_ = request_.class_.tier_;
    wanted.group_ = request_.group_;
    wanted.model_ = request_.model_;
    wanted.prefix_hashes_ = policy::HashPrefixes(request_.prompt_);
    wanted.avoid_ = plan_.avoid_;
    wanted.suspect_ = plan_.suspect_;
    wanted.digest_ = request_.digest_;
    return wanted;
  }

  void AddEvent(EventType type,
                const InstanceId& peer,
                std::string detail = {}) {
    traffic_.timeline_.Add(type, request_.id_, peer, std::move(detail));
  }

  wire::Reserve ReserveMessage() const {
    wire::Reserve reserve;
    reserve.request_id_ = request_.id_;
    reserve.attempt_ = plan_.number_;
    reserve.entry_ = traffic_.instance_;
    reserve.workspace_ = request_.workspace_;
    reserve.class_ = request_.class_.name_;
    reserve.tier_ = request_.class_.tier_;
    reserve.group_ = request_.group_;
    reserve.model_ = request_.model_;
    reserve.waited_ = plan_.waited_;
    reserve.first_token_target_ = request_.class_.first_token_;
    reserve.between_tokens_target_ = request_.class_.between_tokens_;
    reserve.deadline_left_ = plan_.deadline_left_;
    reserve.prompt_tokens_ = request_.prompt_tokens_;
    reserve.expected_output_ =
        traffic_.output_.Remaining(request_.class_.name_, plan_.resume_tokens_);
    reserve.prefix_hashes_ = wanted_.prefix_hashes_;
    reserve.digest_ = request_.digest_;
    reserve.suspect_ = plan_.suspect_;
    reserve.sent_ = traffic_.timeline_.Now();
    reserve.resumed_ = plan_.resume_tokens_ > Tokens(0);
    return reserve;
  }

  void Reserve(const policy::UpstreamView& view) {
    const size_t index = places_.size();
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
    places_.push_back(Place{view.sidecar_, stream.value(), false});
    AddEvent(EventType::kReserved, view.sidecar_,
             "expected wait " + std::to_string(view.expected_wait_.count()) +
                 " ms, " + std::to_string(view.running_) + " running");
    places_.back().stream_.Send(wire::Encode(ReserveMessage()));
  }

  void OnMessage(size_t index, std::string_view frame) {
    if (done_ || places_[index].ended_) {
      return;
    }
    const Result<wire::MessageType> type = wire::PeekType(frame);
    if (!type.ok()) {
      EndPlace(index, type.error(), VerdictOfLoss(index));
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
        EndPlace(index, Error(ErrorCode::kProtocolError), VerdictOfLoss(index));
    }
  }

  // @return whether a message decoded and belongs to this request; else ends
  // the place.
  template <typename Message>
  bool CheckOwn(size_t index, const Result<Message>& message) {
    if (!message.ok()) {
      EndPlace(index, message.error(), VerdictOfLoss(index));
      return false;
    }
    if (message.value().request_id_ == request_.id_) {
      return true;
    }
    traffic_.metrics_.Add("bergamot_foreign_messages_dropped");
    AddEvent(EventType::kDropped, places_[index].sidecar_);
    EndPlace(index, Error(ErrorCode::kProtocolError, "foreign request id"),
             VerdictOfLoss(index));
    return false;
  }

  void OnGranted(size_t index, const Result<wire::Granted>& granted) {
    if (!CheckOwn(index, granted)) {
      return;
    }
    traffic_.timeline_.Observe(granted.value().sent_);
    AddEvent(EventType::kGranted, places_[index].sidecar_);
    if (bound_) {
      EndPlace(index, Error(ErrorCode::kProtocolError, "granted twice"),
               VerdictOfLoss(index));
      return;
    }
    bound_ = true;
    bound_index_ = index;
    WithdrawOthers();
    SendWork();
  }

  void WithdrawOthers() {
    for (size_t i = 0; i < places_.size(); ++i) {
      if (i != bound_index_ && !places_[i].ended_) {
        places_[i].ended_ = true;
        places_[i].stream_.Reset();
        AddEvent(EventType::kWithdrawn, places_[i].sidecar_);
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
    work.resume_text_ = plan_.resume_text_;
    work.resume_tokens_ = plan_.resume_tokens_;
    AddEvent(EventType::kBound, places_[bound_index_].sidecar_);
    work.sent_ = traffic_.timeline_.Now();
    places_[bound_index_].stream_.Send(wire::Encode(work));
    NoteStarted();
  }

  // Tells dispatch which upstream holds the prompt's prefixes from now on.
  void NoteStarted() {
    const std::vector<policy::UpstreamView>& views =
        traffic_.upstreams_.Views();
    const InstanceId& sidecar = places_[bound_index_].sidecar_;
    const auto found = std::find_if(views.begin(), views.end(),
                                    [&](const policy::UpstreamView& view) {
                                      return view.sidecar_ == sidecar;
                                    });
    if (found != views.end()) {
      traffic_.dispatcher_.Started(wanted_, views,
                                   static_cast<int>(found - views.begin()));
    }
  }

  void OnChunk(size_t index, const Result<wire::Chunk>& chunk) {
    if (!CheckOwn(index, chunk)) {
      return;
    }
    if (chunk.value().sequence_ != next_sequence_) {
      AddEvent(EventType::kDropped, places_[index].sidecar_);
      EndPlace(index, Error(ErrorCode::kProtocolError, "chunk out of order"),
               Verdict::kMayHaveRun);
      return;
    }
    ++next_sequence_;
    const std::shared_ptr<Impl> keep = shared_from_this();
    hooks_.on_chunk_(chunk.value());
  }

  void OnFinished(size_t index, const Result<wire::Finished>& finished) {
    if (!CheckOwn(index, finished)) {
      return;
    }
    traffic_.timeline_.Observe(finished.value().sent_);
    done_ = true;
    places_[index].ended_ = true;
    places_[index].stream_.Finish();
    const std::shared_ptr<Impl> keep = shared_from_this();
    hooks_.on_finished_(finished.value());
  }

  void OnRefused(size_t index, const Result<wire::Refused>& refused) {
    if (!CheckOwn(index, refused)) {
      return;
    }
    traffic_.timeline_.Observe(refused.value().sent_);
    const wire::Refused& message = refused.value();
    retry_after_ = std::max(retry_after_, message.retry_after_);
    order_not_run_ = message.order_not_run_;
    upstream_up_ = message.upstream_up_;
    EndPlace(index, Error(message.code_, message.detail_), message.verdict_);
  }

  void OnEnd(size_t index, link::StreamEnd end) {
    if (done_ || places_[index].ended_) {
      return;
    }
    const ErrorCode code = end == link::StreamEnd::kLost
                               ? ErrorCode::kLinkClosed
                               : ErrorCode::kProtocolError;
    EndPlace(index, Error(code, "stream ended early"), VerdictOfLoss(index));
  }

  // A stream that got no work can't have run anything.
  Verdict VerdictOfLoss(size_t index) const {
    const bool has_work = bound_ && index == bound_index_;
    return has_work ? Verdict::kMayHaveRun : Verdict::kNotRun;
  }

  // Ends one reservation; the attempt fails with its last one.
  void EndPlace(size_t index, const Error& error, Verdict verdict) {
    Place& place = places_[index];
    place.ended_ = true;
    place.stream_.Reset();
    failed_.push_back(place.sidecar_);
    const bool all_ended =
        std::all_of(places_.begin(), places_.end(),
                    [](const Place& other) { return other.ended_; });
    if (all_ended) {
      Fail(error, verdict, retry_after_);
    }
  }

  void Fail(const Error& error, Verdict verdict, Millis retry_after) {
    done_ = true;
    const std::shared_ptr<Impl> keep = shared_from_this();
    hooks_.on_failed_(AttemptFailure{error, verdict, retry_after,
                                     order_not_run_, upstream_up_, failed_});
  }

  Traffic& traffic_;
  const CallerRequest& request_;
  const AttemptPlan plan_;
  const AttemptHooks hooks_;
  const policy::DispatchRequest wanted_;
  std::vector<Place> places_;
  std::vector<InstanceId> failed_;
  bool order_not_run_ = false;
  bool upstream_up_ = false;
  Millis retry_after_;
  size_t bound_index_ = 0;
  int64_t next_sequence_ = 0;
  bool bound_ = false;
  bool done_ = false;
};

Attempt::Attempt(Traffic& traffic,
                 const CallerRequest& request,
                 AttemptPlan plan,
                 AttemptHooks hooks)
    : impl_(std::make_shared<Impl>(traffic,
                                   request,
                                   std::move(plan),
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

bool Attempt::bound() const {
  return impl_->bound();
}

}  // namespace bergamotscale::entry
