#include "src/sidecar/scheduler.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "src/gossip/soft_state.h"

namespace bergamotscale::sidecar {
namespace {

constexpr size_t kMaxRecentPrefixes = 128;
const Millis kRetryAfterRefusal(1000);

policy::ConcurrencyLimiterOptions MakeLimiterOptions(
    const SchedulerOptions& options) {
  policy::ConcurrencyLimiterOptions limiter;
  limiter.initial_ = options.initial_slots_;
  limiter.max_ = std::max(options.max_slots_, options.initial_slots_);
  return limiter;
}

}  // namespace

Scheduler::Scheduler(SchedulerOptions options, Clock clock)
    : options_(options),
      clock_(std::move(clock)),
      limiter_(MakeLimiterOptions(options)) {}

void Scheduler::Configure(const ConfigDocument& document) {
  queue_.Configure(document.classes_);
  classes_.clear();
  int floor_percent_sum = 0;
  for (const ServiceClass& service_class : document.classes_) {
    classes_.push_back(service_class.name_);
    floor_percent_sum += service_class.floor_percent_;
  }
  if (options_.adapts_slots_) {
    batch_target_.Configure(document.classes_);
    limiter_.SetFloors(floor_percent_sum);
  }
  GrantSlots();
}

ErrorCode Scheduler::CheckAdmission(const wire::Reserve& reserve) {
  if (leaving_) {
    return ErrorCode::kLeaving;
  }
  if (!accepting_) {
    return ErrorCode::kUpstreamUnreachable;
  }
  if (withheld_.count(reserve.model_) > 0) {
    return ErrorCode::kUnknownModel;
  }
  const bool blocked = reserve.digest_ != 0 &&
                       quarantine_.Check(reserve.digest_, clock_.Now()) ==
                           policy::CrashStatus::kBlocked;
  return blocked ? ErrorCode::kQuarantined : ErrorCode::kOk;
}

policy::QueueItem Scheduler::MakeQueueItem(const wire::Reserve& reserve,
                                           Ticket ticket) const {
  const Millis now = clock_.Now();
  const Millis arrived = now - reserve.waited_;
  policy::QueueItem item;
  item.handle_ = ticket;
  item.class_ = reserve.class_;
  item.tier_ = reserve.tier_;
  item.enqueued_ = now;
  item.first_token_due_ = arrived + reserve.first_token_target_;
  item.deadline_ = now + reserve.deadline_left_;
  item.prompt_tokens_ = reserve.prompt_tokens_;
  item.expected_output_ = reserve.expected_output_;
  item.resumed_ = reserve.resumed_;
  item.suspect_ =
      reserve.suspect_ ||
      (reserve.digest_ != 0 && quarantine_.Check(reserve.digest_, now) ==
                                   policy::CrashStatus::kSuspect);
  return item;
}

Ticket Scheduler::Enqueue(const wire::Reserve& reserve, TicketHooks hooks) {
  const Ticket ticket = ++last_ticket_;
  const ErrorCode refusal = CheckAdmission(reserve);
  if (refusal != ErrorCode::kOk) {
    hooks.on_refused_(refusal, Millis(0));
    return ticket;
  }
  Reservation reservation;
  reservation.item_ = MakeQueueItem(reserve, ticket);
  reservation.digest_ = reserve.digest_;
  reservation.model_ = reserve.model_;
  reservation.hooks_ = std::move(hooks);
  reservation.prefix_hashes_ = reserve.prefix_hashes_;
  reservation.between_tokens_target_ = reserve.between_tokens_target_;
  queue_.Push(reservation.item_, clock_.Now());
  reservations_.emplace(ticket, std::move(reservation));
  GrantSlots();
  return ticket;
}

void Scheduler::Withdraw(Ticket ticket) {
  const auto found = reservations_.find(ticket);
  if (found == reservations_.end()) {
    return;
  }
  if (found->second.granted_) {
    End(ticket, TicketEnd::kNotStarted);
    return;
  }
  queue_.Withdraw(ticket, clock_.Now());
  reservations_.erase(found);
}

bool Scheduler::Start(Ticket ticket) {
  const auto found = reservations_.find(ticket);
  if (paused_ || found == reservations_.end() || !found->second.granted_) {
    return false;
  }
  Reservation& reservation = found->second;
  reservation.started_ = true;
  reservation.last_chunk_ = clock_.Now();
  if (!options_.adapts_slots_) {
    // A plain service has no prefill, so lower tiers don't wait for one.
    queue_.OnFirstToken(reservation.item_, Millis(0));
  }
  RememberPrefixes(reservation);
  return true;
}

void Scheduler::OnChunk(Ticket ticket, Tokens tokens) {
  const auto found = reservations_.find(ticket);
  if (found == reservations_.end()) {
    return;
  }
  Reservation& reservation = found->second;
  const Millis now = clock_.Now();
  const Millis elapsed = now - reservation.last_chunk_;
  // The time to the first token is prefill, not inter-token latency.
  if (reservation.output_ == Tokens(0)) {
    reservation.first_chunk_ = now;
    queue_.OnFirstToken(reservation.item_, elapsed);
    GrantSlots();
  } else {
    limiter_.ObserveChunk(now, tokens, elapsed, queue_.running());
  }
  reservation.last_chunk_ = now;
  reservation.output_ += tokens;
}

void Scheduler::ObserveAnswer(const Reservation& reservation) {
  const int64_t gaps = reservation.output_.count() - 1;
  if (!options_.adapts_slots_ || gaps < 1) {
    return;
  }
  const Millis streamed = reservation.last_chunk_ - reservation.first_chunk_;
  limiter_.ObserveAnswer(
      static_cast<double>(streamed.count()) / static_cast<double>(gaps),
      reservation.between_tokens_target_);
}

void Scheduler::End(Ticket ticket, TicketEnd end) {
  const auto found = reservations_.find(ticket);
  if (found == reservations_.end()) {
    return;
  }
  const Reservation reservation = std::move(found->second);
  reservations_.erase(found);
  if (end == TicketEnd::kNotStarted) {
    queue_.RevertStart(reservation.item_);
  } else {
    queue_.RecordEnd(reservation.item_, reservation.output_);
  }
  if (end == TicketEnd::kCompleted) {
    ObserveAnswer(reservation);
  }
  if (end == TicketEnd::kCompleted && reservation.digest_ != 0) {
    quarantine_.OnCompleted({reservation.digest_, reservation.item_.suspect_},
                            clock_.Now());
  }
  GrantSlots();
}

void Scheduler::GrantSlots() {
  if (options_.adapts_slots_) {
    limiter_.SetTarget(batch_target_.UpdateTarget(queue_, clock_.Now()));
  }
  while (accepting_ && !paused_ && !leaving_) {
    const std::optional<policy::QueueItem> item =
        queue_.PopNext(clock_.Now(), limiter_.Limits());
    if (!item.has_value()) {
      return;
    }
    if (!RecheckSuspicion(*item)) {
      Grant(*item);
    }
  }
}

// Rechecks a request that may have become a suspect or blocked while queued.
// @return whether it was refused, or requeued as a suspect.
bool Scheduler::RecheckSuspicion(const policy::QueueItem& item) {
  const uint64_t digest = reservations_.at(item.handle_).digest_;
  const Millis now = clock_.Now();
  const policy::CrashStatus suspicion = digest == 0
                                            ? policy::CrashStatus::kClear
                                            : quarantine_.Check(digest, now);
  if (suspicion == policy::CrashStatus::kBlocked) {
    queue_.RevertStart(item);
    const TicketHooks hooks = std::move(reservations_.at(item.handle_).hooks_);
    reservations_.erase(item.handle_);
    hooks.on_refused_(ErrorCode::kQuarantined, Millis(0));
    return true;
  }
  if (suspicion == policy::CrashStatus::kClear || item.suspect_) {
    return false;
  }
  queue_.RevertStart(item);
  Reservation& reservation = reservations_.at(item.handle_);
  reservation.item_.suspect_ = true;
  queue_.Push(reservation.item_, now);
  return true;
}

void Scheduler::Grant(const policy::QueueItem& item) {
  Reservation& reservation = reservations_.at(item.handle_);
  reservation.item_ = item;
  reservation.granted_ = true;
  reservation.granted_at_ = clock_.Now();
  const auto on_granted = reservation.hooks_.on_granted_;
  on_granted();
}

void Scheduler::Refuse(Ticket ticket, ErrorCode code) {
  const auto found = reservations_.find(ticket);
  if (found == reservations_.end()) {
    return;
  }
  const TicketHooks hooks = std::move(found->second.hooks_);
  Withdraw(ticket);
  hooks.on_refused_(code, Millis(0));
}

void Scheduler::RefuseWaiting(ErrorCode code) {
  std::vector<Ticket> waiting;
  for (const auto& [ticket, reservation] : reservations_) {
    if (!reservation.started_) {
      waiting.push_back(ticket);
    }
  }
  for (const Ticket ticket : waiting) {
    Refuse(ticket, code);
  }
}

void Scheduler::SetWithheldModels(const std::set<ModelId>& models) {
  withheld_ = models;
  std::vector<Ticket> waiting;
  for (const auto& [ticket, reservation] : reservations_) {
    if (!reservation.granted_ && withheld_.count(reservation.model_) > 0) {
      waiting.push_back(ticket);
    }
  }
  for (const Ticket ticket : waiting) {
    Refuse(ticket, ErrorCode::kUnknownModel);
  }
}

std::set<ModelId> Scheduler::ModelsInUse() const {
  std::set<ModelId> models;
  for (const auto& [ticket, reservation] : reservations_) {
    if (reservation.granted_) {
      models.insert(reservation.model_);
    }
  }
  return models;
}

void Scheduler::SetAccepting(bool accepting) {
  if (accepting == accepting_) {
    return;
  }
  accepting_ = accepting;
  if (!accepting) {
    RefuseWaiting(ErrorCode::kUpstreamUnreachable);
  }
  GrantSlots();
}

void Scheduler::SetPaused(bool paused) {
  paused_ = paused;
  GrantSlots();
}

void Scheduler::Leave() {
  leaving_ = true;
  RefuseWaiting(ErrorCode::kLeaving);
}

void Scheduler::Tick() {
  const Millis now = clock_.Now();
  for (const policy::QueueItem& item : queue_.TakeExpired(now)) {
    const auto found = reservations_.find(item.handle_);
    const TicketHooks hooks = std::move(found->second.hooks_);
    reservations_.erase(found);
    hooks.on_refused_(ErrorCode::kDeadlineExceeded, kRetryAfterRefusal);
  }
  std::vector<Ticket> unused;
  for (const auto& [ticket, reservation] : reservations_) {
    const bool unused_grant = reservation.granted_ && !reservation.started_;
    if (unused_grant &&
        reservation.granted_at_ + options_.grant_timeout_ <= now) {
      unused.push_back(ticket);
    }
  }
  for (const Ticket ticket : unused) {
    Refuse(ticket, ErrorCode::kCancelled);
  }
  GrantSlots();
}

std::vector<policy::RunningAttempt> Scheduler::RunningDigests() const {
  std::vector<policy::RunningAttempt> digests;
  for (const auto& [ticket, reservation] : reservations_) {
    if (reservation.started_ && reservation.digest_ != 0) {
      digests.push_back({reservation.digest_, reservation.item_.suspect_});
    }
  }
  return digests;
}

std::vector<wire::CrashVerdict> Scheduler::OnCrash(
    const std::vector<policy::RunningAttempt>& running) {
  return gossip::ToWire(
      quarantine_.OnCrash(running, clock_.Now(), options_.crash_source_));
}

void Scheduler::Merge(const wire::CrashVerdict& verdict) {
  const policy::CrashRecord record = gossip::FromWire(verdict);
  if (quarantine_.Merge(record, clock_.Now()) && record.crashes_ > 0) {
    MarkSuspects(record.digest_);
  }
}

// Marks running requests too, so that no other suspect starts beside them.
void Scheduler::MarkSuspects(uint64_t digest) {
  for (auto& [ticket, reservation] : reservations_) {
    if (reservation.granted_ && reservation.digest_ == digest) {
      reservation.item_ = queue_.MarkSuspect(reservation.item_);
    }
  }
}

std::vector<wire::CrashVerdict> Scheduler::Verdicts(size_t limit) const {
  return gossip::ToWire(quarantine_.Records(clock_.Now(), limit));
}

void Scheduler::RememberPrefixes(const Reservation& reservation) {
  for (const uint64_t hash : reservation.prefix_hashes_) {
    const auto found =
        std::find(recent_prefixes_.begin(), recent_prefixes_.end(), hash);
    if (found != recent_prefixes_.end()) {
      recent_prefixes_.erase(found);
    }
    recent_prefixes_.push_back(hash);
  }
  while (recent_prefixes_.size() > kMaxRecentPrefixes) {
    recent_prefixes_.pop_front();
  }
}

void Scheduler::FillStatus(wire::SidecarStatus* status) const {
  const Millis now = clock_.Now();
  const policy::SlotLimits limits = limiter_.Limits();
  status->accepting_ = accepting_ && !leaving_;
  status->leaving_ = leaving_;
  status->running_ = queue_.running();
  status->slots_ = limiter_.limit();
  status->between_tokens_ = limiter_.between_tokens();
  status->cached_prefixes_.assign(recent_prefixes_.begin(),
                                  recent_prefixes_.end());
  for (const ClassId& name : classes_) {
    wire::ClassLoad load;
    load.class_ = name;
    load.waiting_ = static_cast<int>(queue_.SizeOf(name));
    load.running_ = queue_.RunningOf(name);
    load.expected_wait_ = queue_.ExpectedWait(name, now, limits);
    status->classes_.push_back(load);
    status->expected_wait_ =
        std::max(status->expected_wait_, load.expected_wait_);
  }
  FillModelLoads(status);
}

void Scheduler::FillModelLoads(wire::SidecarStatus* status) const {
  std::map<ModelId, wire::ModelLoad> loads;
  for (const auto& [ticket, reservation] : reservations_) {
    if (!reservation.model_.empty()) {
      wire::ModelLoad& load = loads[reservation.model_];
      ++(reservation.granted_ ? load.running_ : load.waiting_);
    }
  }
  for (auto& [model, load] : loads) {
    load.model_ = model;
    status->model_loads_.push_back(load);
  }
}

}  // namespace bergamotscale::sidecar
