#include "src/lab/sim_entry.h"

#include <algorithm>
#include <string>
#include <utility>

#include "src/lab/fault_schedule.h"

namespace bergamotscale::lab {

namespace {

constexpr int kAttemptsPerRequest = 256;
constexpr Micros kRefreshInterval = Micros(1'000'000);
constexpr Micros kNoUpstreamDelay = Micros(50'000);
// Engine blocks per prefix hash used in dispatch.
constexpr size_t kBlocksPerPrefix = 16;
constexpr Millis kPrefixSaving = Millis(13);

policy::DispatcherOptions DispatchOptions(const Scenario& scenario,
                                          int index,
                                          uint64_t seed) {
  policy::DispatcherOptions options;
  options.seed_ = seed * 1000 + index;
  options.zone_ = ZoneId(std::to_string(index % scenario.zones_));
  options.prefix_saving_ = kPrefixSaving;
  return options;
}

std::vector<uint64_t> CoarsePrefixes(const std::vector<uint64_t>& blocks) {
  std::vector<uint64_t> prefixes;
  for (size_t i = kBlocksPerPrefix; i <= blocks.size(); i += kBlocksPerPrefix) {
    prefixes.push_back(blocks[i - 1]);
  }
  return prefixes;
}

}  // namespace

uint64_t MakeHandle(int request, int attempt) {
  return static_cast<uint64_t>(request) * kAttemptsPerRequest +
         static_cast<uint64_t>(attempt % kAttemptsPerRequest);
}

int RequestOf(uint64_t handle) {
  return static_cast<int>(handle / kAttemptsPerRequest);
}

SimEntry::SimEntry(EventLoop& loop,
                   const Scenario& scenario,
                   const std::vector<Arrival>& arrivals,
                   Recorder& recorder,
                   int index,
                   uint64_t seed,
                   bool fifo,
                   EntryHooks hooks)
    : loop_(loop),
      scenario_(scenario),
      arrivals_(arrivals),
      recorder_(recorder),
      fifo_(fifo),
      hooks_(std::move(hooks)),
      dispatcher_(DispatchOptions(scenario, index, seed)),
      views_(scenario.engines_),
      reported_at_(scenario.engines_) {
  std::vector<ServiceClass> classes;
  for (const ClassWorkload& workload : scenario.classes_) {
    classes.push_back(workload.class_);
  }
  if (!fifo) {
    dispatcher_.Configure(classes);
  }
}

const ClassWorkload& SimEntry::WorkloadOf(int request) const {
  return scenario_.classes_[arrivals_[request].class_];
}

SimEntry::Request* SimEntry::Find(uint64_t handle) {
  const auto found = requests_.find(RequestOf(handle));
  if (found == requests_.end() ||
      MakeHandle(found->first, found->second.attempt_) != handle) {
    return nullptr;
  }
  return &found->second;
}

void SimEntry::UpdateViewAges() {
  for (size_t i = 0; i < views_.size(); ++i) {
    views_[i].report_age_ = Millis((loop_.now() - reported_at_[i]).count() /
                                   emulator::kMicrosPerMilli);
  }
  RefreshDispatcher();
}

void SimEntry::RefreshDispatcher() {
  if (loop_.now() - refreshed_at_ >= kRefreshInterval) {
    refreshed_at_ = loop_.now();
    dispatcher_.Refresh(views_);
  }
}

void SimEntry::OnArrival(int request) {
  const ServiceClass& service_class = WorkloadOf(request).class_;
  Request state;
  state.dispatch_.class_ = service_class.name_;
  state.dispatch_.tier_ = service_class.tier_;
  state.dispatch_.group_ = GroupId("engines");
  state.dispatch_.prefix_hashes_ =
      CoarsePrefixes(arrivals_[request].block_hashes_);
  requests_[request] = std::move(state);
  if (!fifo_ && !Admit(request)) {
    Reject(request);
    return;
  }
  budget_.OnRequest();
  loop_.ScheduleAfter(emulator::ToMicros(service_class.deadline_),
                      [this, request] { OnTimeout(request); });
  Dispatch(request);
}

bool SimEntry::Admit(int request) {
  const ServiceClass& service_class = WorkloadOf(request).class_;
  UpdateViewAges();
  policy::AdmissionRequest admission_request;
  admission_request.class_ = service_class.name_;
  admission_request.first_token_left_ = service_class.first_token_;
  admission_request.deadline_left_ = service_class.deadline_;
  admission_request.expected_run_ =
      Millis(estimator_.Expected(service_class.name_).count() *
             service_class.between_tokens_.count());
  admission_request.expected_wait_ =
      dispatcher_.EstimateBestWait(requests_[request].dispatch_, views_);
  return admission_.Admit(admission_request, loop_.now_millis()).admitted();
}

void SimEntry::Dispatch(int request) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return;
  }
  Request& state = found->second;
  const policy::CrashStatus crash_status =
      quarantine_.Check(arrivals_[request].digest_, loop_.now_millis());
  if (crash_status == policy::CrashStatus::kBlocked) {
    Reject(request);
    return;
  }
  state.suspect_ = crash_status == policy::CrashStatus::kSuspect;
  state.dispatch_.suspect_ = state.suspect_;
  state.dispatch_.digest_ = arrivals_[request].digest_;
  ++state.attempt_;
  UpdateViewAges();
  const std::vector<int> chosen = dispatcher_.Choose(state.dispatch_, views_);
  if (chosen.empty()) {
    state.dispatch_.avoid_.clear();
    loop_.ScheduleAfter(kNoUpstreamDelay,
                        [this, request] { Dispatch(request); });
    return;
  }
  state.reserved_at_ = chosen;
  ScheduleSuspectTimeout(request);
  for (const int sidecar : chosen) {
    Reserve(request, sidecar);
  }
}

// A suspect that gets no grant within the timeout tries the next upstream.
void SimEntry::ScheduleSuspectTimeout(int request) {
  const Request& state = requests_[request];
  if (!state.suspect_) {
    return;
  }
  const Millis timeout =
      policy::GetSuspectAttemptTimeout(WorkloadOf(request).class_.deadline_);
  const uint64_t handle = MakeHandle(request, state.attempt_);
  loop_.ScheduleAfter(emulator::ToMicros(timeout), [this, request, handle] {
    Request* waiting = Find(handle);
    if (waiting == nullptr || waiting->running_at_ >= 0) {
      return;
    }
    for (const int sidecar : waiting->reserved_at_) {
      waiting->dispatch_.avoid_.push_back(views_[sidecar].sidecar_);
    }
    Withdraw(*waiting, request);
    Dispatch(request);
  });
}

void SimEntry::Reserve(int request, int sidecar) {
  const Request& state = requests_[request];
  const Arrival& arrival = arrivals_[request];
  const ServiceClass& service_class = WorkloadOf(request).class_;
  const Millis arrived(arrival.at_.count() / emulator::kMicrosPerMilli);
  policy::QueueItem item;
  item.handle_ = MakeHandle(request, state.attempt_);
  item.class_ = service_class.name_;
  item.tier_ = service_class.tier_;
  item.enqueued_ = loop_.now_millis();
  item.first_token_due_ = arrived + service_class.first_token_;
  item.deadline_ = arrived + service_class.deadline_;
  item.prompt_tokens_ = arrival.prompt_tokens_;
  item.expected_output_ =
      estimator_.Remaining(service_class.name_, Tokens(state.delivered_));
  item.suspect_ = state.suspect_ && !fifo_;
  item.resumed_ = state.delivered_ > 0;
  ++views_[sidecar].placed_since_;
  hooks_.send_(sidecar, [item](SimSidecar& to) { to.Reserve(item); });
}

// The first grant gets the request; the other reservations are withdrawn.
void SimEntry::OnGranted(int sidecar, uint64_t handle) {
  Request* state = Find(handle);
  if (state == nullptr || state->running_at_ >= 0) {
    hooks_.send_(sidecar, [handle](SimSidecar& to) { to.Reset(handle); });
    return;
  }
  const int request = RequestOf(handle);
  std::vector<int>& reservations = state->reserved_at_;
  reservations.erase(
      std::remove(reservations.begin(), reservations.end(), sidecar),
      reservations.end());
  Withdraw(*state, request);
  Start(request, sidecar);
}

void SimEntry::Start(int request, int sidecar) {
  Request& state = requests_[request];
  state.running_at_ = sidecar;
  dispatcher_.OnStarted(state.dispatch_, views_, sidecar);
  const Arrival& arrival = arrivals_[request];
  emulator::EngineRequest work;
  work.priority_ =
      fifo_ ? 1 : static_cast<int>(WorkloadOf(request).class_.tier_.value());
  work.prompt_tokens_ = arrival.prompt_tokens_;
  work.prefix_hashes_ = arrival.block_hashes_;
  work.prompt_digest_ = arrival.digest_;
  work.output_tokens_ = arrival.output_tokens_;
  work.done_ = Tokens(state.delivered_);
  work.crashes_engine_ = arrival.crashes_engine_;
  const uint64_t handle = MakeHandle(request, state.attempt_);
  hooks_.send_(sidecar,
               [handle, work, prefixes = state.dispatch_.prefix_hashes_](
                   SimSidecar& to) { to.Work(handle, work, prefixes); });
}

void SimEntry::Withdraw(Request& state, int request) {
  const uint64_t handle = MakeHandle(request, state.attempt_);
  for (const int sidecar : state.reserved_at_) {
    hooks_.send_(sidecar, [handle](SimSidecar& to) { to.Reset(handle); });
  }
  state.reserved_at_.clear();
}

void SimEntry::OnToken(uint64_t handle, int64_t index, Micros at) {
  Request* state = Find(handle);
  if (state == nullptr) {
    return;
  }
  state->delivered_ = index + 1;
  recorder_.RecordDelivered(RequestOf(handle), index, at + kCallerDelay);
}

void SimEntry::OnFinished(uint64_t handle, Micros at) {
  const int request = RequestOf(handle);
  if (Find(handle) == nullptr) {
    return;
  }
  recorder_.RecordCompleted(request, at + kCallerDelay);
  estimator_.Observe(WorkloadOf(request).class_.name_,
                     arrivals_[request].output_tokens_);
  requests_.erase(request);
}

void SimEntry::OnLost(int sidecar, uint64_t handle) {
  Request* state = Find(handle);
  if (state == nullptr) {
    return;
  }
  const int request = RequestOf(handle);
  views_[sidecar].usable_ = false;
  state->running_at_ = -1;
  state->dispatch_.avoid_ = {views_[sidecar].sidecar_};
  if (!budget_.TryRetry()) {
    recorder_.RecordFailed(request);
    End(request);
    return;
  }
  recorder_.RecordRetry();
  const policy::CrashStatus crash_status =
      quarantine_.Check(arrivals_[request].digest_, loop_.now_millis());
  const bool is_delayed =
      crash_status == policy::CrashStatus::kSuspect && !fifo_;
  const Millis delay =
      is_delayed ? policy::GetSuspectRetryDelay(state->dispatch_.tier_)
                 : Millis(0);
  // A late message must not match the attempt that has ended.
  ++state->attempt_;
  loop_.ScheduleAfter(emulator::ToMicros(delay),
                      [this, request] { Dispatch(request); });
}

void SimEntry::OnRefused(int sidecar, uint64_t handle) {
  Request* state = Find(handle);
  if (state == nullptr) {
    return;
  }
  views_[sidecar].usable_ = false;
  if (state->running_at_ == sidecar) {
    state->running_at_ = -1;
  }
  std::vector<int>& reservations = state->reserved_at_;
  reservations.erase(
      std::remove(reservations.begin(), reservations.end(), sidecar),
      reservations.end());
  if (reservations.empty() && state->running_at_ < 0) {
    Dispatch(RequestOf(handle));
  }
}

void SimEntry::OnCrashRecords(const std::vector<policy::CrashRecord>& records) {
  if (fifo_) {
    return;
  }
  for (const policy::CrashRecord& record : records) {
    quarantine_.Merge(record, loop_.now_millis());
  }
}

void SimEntry::OnStatus(int sidecar,
                        const policy::UpstreamView& view,
                        Micros sent) {
  views_[sidecar] = view;
  reported_at_[sidecar] = sent;
}

void SimEntry::Reject(int request) {
  recorder_.RecordRejected(request);
  End(request);
}

void SimEntry::OnTimeout(int request) {
  if (requests_.count(request) > 0) {
    recorder_.RecordFailed(request);
    End(request);
  }
}

void SimEntry::OnCallerLeft(int request) {
  if (requests_.count(request) > 0) {
    recorder_.RecordLeft(request, loop_.now());
    End(request);
  }
}

// Removes the request here and at all sidecars.
void SimEntry::End(int request) {
  const auto found = requests_.find(request);
  Request& state = found->second;
  if (state.running_at_ >= 0) {
    state.reserved_at_.push_back(state.running_at_);
  }
  Withdraw(state, request);
  requests_.erase(found);
  hooks_.unanswered_(request);
}

}  // namespace bergamotscale::lab
