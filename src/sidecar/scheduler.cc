#include "src/sidecar/scheduler.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "src/gossip/soft_state.h"

namespace bergamotscale::sidecar {
namespace {

constexpr size_t kMaxRecentPrefixes = 128;
const Millis kRetryAfterRefusal(1000);

policy::ConcurrencyLimiterOptions LimiterOptionsOf(
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
      limiter_(LimiterOptionsOf(options)) {}

void Scheduler::Configure(const ConfigDocument& document) {
  queue_.Configure(document.classes_);
  classes_.clear();
  int floors = 0;
  for (const ServiceClass& service_class : document.classes_) {
    classes_.push_back(service_class.name_);
    floors += service_class.floor_percent_;
  }
  if (options_.learns_) {
    batch_target_.Configure(document.classes_);
    limiter_.SetFloors(floors);
  }
  Pump();
}

ErrorCode Scheduler::Refusal(const wire::Reserve& reserve) {
  if (leaving_) {
    return ErrorCode::kLeaving;
  }
  if (!accepting_) {
    return ErrorCode::kUpstreamUnreachable;
  }
  if (withheld_.count(reserve.model_) > 0) {
    return ErrorCode::kUnknownModel;
  }
  const bool convicted = reserve.digest_ != 0 &&
                         quarantine_.Check(reserve.digest_, clock_.Now()) ==
                             policy::Suspicion::kConvicted;
  return convicted ? ErrorCode::kQuarantined : ErrorCode::kOk;
}

policy::QueueItem Scheduler::ItemOf(const wire::Reserve& reserve,
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
      (reserve.digest_ != 0 &&
       quarantine_.Check(reserve.digest_, now) == policy::Suspicion::kSuspect);
  return item;
}

Ticket Scheduler::Enqueue(const wire::Reserve& reserve, TicketHooks hooks) {
  const Ticket ticket = ++last_ticket_;
  const ErrorCode refusal = Refusal(reserve);
  if (refusal != ErrorCode::kOk) {
    hooks.on_refused_(refusal, Millis(0));
    return ticket;
  }
  Entry entry;
  entry.item_ = ItemOf(reserve, ticket);
  entry.digest_ = reserve.digest_;
  entry.model_ = reserve.model_;
  entry.hooks_ = std::move(hooks);
  entry.prefix_hashes_ = reserve.prefix_hashes_;
  entry.between_tokens_target_ = reserve.between_tokens_target_;
  queue_.Push(entry.item_, clock_.Now());
  entries_.emplace(ticket, std::move(entry));
  Pump();
  return ticket;
}

void Scheduler::Withdraw(Ticket ticket) {
  const auto found = entries_.find(ticket);
  if (found == entries_.end()) {
    return;
  }
  if (found->second.granted_) {
    End(ticket, TicketEnd::kNotStarted);
    return;
  }
  queue_.Withdraw(ticket, clock_.Now());
  entries_.erase(found);
}

bool Scheduler::Start(Ticket ticket) {
  const auto found = entries_.find(ticket);
  if (held_ || found == entries_.end() || !found->second.granted_) {
    return false;
  }
  Entry& entry = found->second;
  entry.started_ = true;
  entry.last_chunk_ = clock_.Now();
  if (!options_.learns_) {
    // A plain service has no prefill that lower tiers should wait for.
    queue_.OnFirstToken(entry.item_, Millis(0));
  }
  RememberPrefixes(entry);
  return true;
}

void Scheduler::OnChunk(Ticket ticket, Tokens tokens) {
  const auto found = entries_.find(ticket);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  const Millis now = clock_.Now();
  const Millis elapsed = now - entry.last_chunk_;
  // The first gap is the prefill's.
  if (entry.output_ == Tokens(0)) {
    entry.first_chunk_ = now;
    queue_.OnFirstToken(entry.item_, elapsed);
    Pump();
  } else {
    limiter_.ObserveChunk(now, tokens, elapsed, queue_.running());
  }
  entry.last_chunk_ = now;
  entry.output_ += tokens;
}

void Scheduler::ObserveAnswer(const Entry& entry) {
  const int64_t gaps = entry.output_.count() - 1;
  if (!options_.learns_ || gaps < 1) {
    return;
  }
  const Millis streamed = entry.last_chunk_ - entry.first_chunk_;
  limiter_.ObserveAnswer(
      static_cast<double>(streamed.count()) / static_cast<double>(gaps),
      entry.between_tokens_target_);
}

void Scheduler::End(Ticket ticket, TicketEnd end) {
  const auto found = entries_.find(ticket);
  if (found == entries_.end()) {
    return;
  }
  const Entry entry = std::move(found->second);
  entries_.erase(found);
  if (end == TicketEnd::kNotStarted) {
    queue_.Return(entry.item_);
  } else {
    queue_.Settle(entry.item_, entry.output_);
  }
  if (end == TicketEnd::kCompleted) {
    ObserveAnswer(entry);
  }
  if (end == TicketEnd::kCompleted && entry.digest_ != 0) {
    quarantine_.OnCompleted({entry.digest_, entry.item_.suspect_},
                            clock_.Now());
  }
  Pump();
}

void Scheduler::Pump() {
  if (options_.learns_) {
    limiter_.SetTarget(batch_target_.Follow(queue_, clock_.Now()));
  }
  while (accepting_ && !held_ && !leaving_) {
    const std::optional<policy::QueueItem> item =
        queue_.PopNext(clock_.Now(), limiter_.Limits());
    if (!item.has_value()) {
      return;
    }
    if (!Reconsider(*item)) {
      Grant(*item);
    }
  }
}

// Judges a request again that may have come under suspicion while it waited.
// @return whether it was refused, or put back as a suspect.
bool Scheduler::Reconsider(const policy::QueueItem& item) {
  const uint64_t digest = entries_.at(item.handle_).digest_;
  const Millis now = clock_.Now();
  const policy::Suspicion suspicion =
      digest == 0 ? policy::Suspicion::kClear : quarantine_.Check(digest, now);
  if (suspicion == policy::Suspicion::kConvicted) {
    queue_.Return(item);
    const TicketHooks hooks = std::move(entries_.at(item.handle_).hooks_);
    entries_.erase(item.handle_);
    hooks.on_refused_(ErrorCode::kQuarantined, Millis(0));
    return true;
  }
  if (suspicion == policy::Suspicion::kClear || item.suspect_) {
    return false;
  }
  queue_.Return(item);
  Entry& entry = entries_.at(item.handle_);
  entry.item_.suspect_ = true;
  queue_.Push(entry.item_, now);
  return true;
}

void Scheduler::Grant(const policy::QueueItem& item) {
  Entry& entry = entries_.at(item.handle_);
  entry.item_ = item;
  entry.granted_ = true;
  entry.granted_at_ = clock_.Now();
  const auto on_granted = entry.hooks_.on_granted_;
  on_granted();
}

void Scheduler::Refuse(Ticket ticket, ErrorCode code) {
  const auto found = entries_.find(ticket);
  if (found == entries_.end()) {
    return;
  }
  const TicketHooks hooks = std::move(found->second.hooks_);
  Withdraw(ticket);
  hooks.on_refused_(code, Millis(0));
}

void Scheduler::RefuseWaiting(ErrorCode code) {
  std::vector<Ticket> waiting;
  for (const auto& [ticket, entry] : entries_) {
    if (!entry.started_) {
      waiting.push_back(ticket);
    }
  }
  for (const Ticket ticket : waiting) {
    Refuse(ticket, code);
  }
}

void Scheduler::Withhold(const std::set<ModelId>& models) {
  withheld_ = models;
  std::vector<Ticket> waiting;
  for (const auto& [ticket, entry] : entries_) {
    if (!entry.granted_ && withheld_.count(entry.model_) > 0) {
      waiting.push_back(ticket);
    }
  }
  for (const Ticket ticket : waiting) {
    Refuse(ticket, ErrorCode::kUnknownModel);
  }
}

std::set<ModelId> Scheduler::ModelsInUse() const {
  std::set<ModelId> models;
  for (const auto& [ticket, entry] : entries_) {
    if (entry.granted_) {
      models.insert(entry.model_);
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
  Pump();
}

void Scheduler::Hold(bool hold) {
  held_ = hold;
  Pump();
}

void Scheduler::Leave() {
  leaving_ = true;
  RefuseWaiting(ErrorCode::kLeaving);
}

void Scheduler::Tick() {
  const Millis now = clock_.Now();
  for (const policy::QueueItem& item : queue_.TakeExpired(now)) {
    const auto found = entries_.find(item.handle_);
    const TicketHooks hooks = std::move(found->second.hooks_);
    entries_.erase(found);
    hooks.on_refused_(ErrorCode::kDeadlineExceeded, kRetryAfterRefusal);
  }
  std::vector<Ticket> unused;
  for (const auto& [ticket, entry] : entries_) {
    const bool held = entry.granted_ && !entry.started_;
    if (held && entry.granted_at_ + options_.grant_timeout_ <= now) {
      unused.push_back(ticket);
    }
  }
  for (const Ticket ticket : unused) {
    Refuse(ticket, ErrorCode::kCancelled);
  }
  Pump();
}

std::vector<policy::RunningDigest> Scheduler::RunningDigests() const {
  std::vector<policy::RunningDigest> digests;
  for (const auto& [ticket, entry] : entries_) {
    if (entry.started_ && entry.digest_ != 0) {
      digests.push_back({entry.digest_, entry.item_.suspect_});
    }
  }
  return digests;
}

std::vector<wire::CrashVerdict> Scheduler::OnCrash(
    const std::vector<policy::RunningDigest>& running) {
  return gossip::ToWire(
      quarantine_.OnCrash(running, clock_.Now(), options_.crash_source_));
}

void Scheduler::Merge(const wire::CrashVerdict& verdict) {
  const policy::SuspicionRecord record = gossip::FromWire(verdict);
  if (quarantine_.Merge(record, clock_.Now()) && record.crashes_ > 0) {
    MarkSuspects(record.digest_);
  }
}

// No other suspect may start beside one that runs already.
void Scheduler::MarkSuspects(uint64_t digest) {
  for (auto& [ticket, entry] : entries_) {
    if (entry.granted_ && entry.digest_ == digest) {
      entry.item_ = queue_.MarkSuspect(entry.item_);
    }
  }
}

std::vector<wire::CrashVerdict> Scheduler::Verdicts(size_t limit) const {
  return gossip::ToWire(quarantine_.Records(clock_.Now(), limit));
}

void Scheduler::RememberPrefixes(const Entry& entry) {
  for (const uint64_t hash : entry.prefix_hashes_) {
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

void Scheduler::Describe(wire::SidecarStatus* status) const {
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
  DescribeModels(status);
}

void Scheduler::DescribeModels(wire::SidecarStatus* status) const {
  std::map<ModelId, wire::ModelLoad> loads;
  for (const auto& [ticket, entry] : entries_) {
    if (!entry.model_.empty()) {
      wire::ModelLoad& load = loads[entry.model_];
      ++(entry.granted_ ? load.running_ : load.waiting_);
    }
  }
  for (auto& [model, load] : loads) {
    load.model_ = model;
    status->model_loads_.push_back(load);
  }
}

}  // namespace bergamotscale::sidecar
