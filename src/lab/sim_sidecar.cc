#include "src/lab/sim_sidecar.h"

#include <algorithm>
#include <string>
#include <utility>

namespace bergamotscale::lab {

namespace {

// Number of dispatch prefix hashes that fill the prefix cache.
constexpr size_t kMaxPrefixes = 190;
const char kFifoClass[] = "all";

std::vector<ServiceClass> FifoClasses() {
  std::vector<ServiceClass> classes(1);
  classes[0].name_ = ClassId(kFifoClass);
  return classes;
}

}  // namespace

SimSidecar::SimSidecar(EventLoop& loop,
                       const Scenario& scenario,
                       int index,
                       uint64_t seed,
                       bool fifo,
                       SidecarHooks hooks)
    : loop_(loop),
      scenario_(scenario),
      index_(index),
      fifo_(fifo),
      hooks_(std::move(hooks)) {
  emulator::EngineParameters parameters = scenario.engine_;
  parameters.seed_ = seed + index;
  engine_ = std::make_unique<SimEngine>(
      loop, parameters,
      [this](const emulator::EngineEvent& event) { OnEvent(event); });
  std::vector<ServiceClass> classes;
  int floors = 0;
  Millis tightest = scenario.classes_.front().class_.between_tokens_;
  for (const ClassWorkload& workload : scenario.classes_) {
    classes.push_back(workload.class_);
    floors += workload.class_.floor_percent_;
    tightest = std::min(tightest, workload.class_.between_tokens_);
  }
  queue_.Configure(fifo ? FifoClasses() : classes);
  limiter_.SetFloors(fifo ? 0 : floors);
  limiter_.SetTarget(tightest);
  batch_target_.Configure(classes);
}

void SimSidecar::Reserve(const policy::QueueItem& item) {
  if (!engine_->up()) {
    hooks_.refused_(item.handle_);
    return;
  }
  policy::QueueItem queued = item;
  if (fifo_) {
    queued.class_ = ClassId(kFifoClass);
    queued.tier_ = Tier(1);
    queued.first_token_due_ = item.enqueued_;
  }
  waiting_[item.handle_] = queued;
  queue_.Push(queued, loop_.now_millis());
  GrantNext();
}

void SimSidecar::GrantNext() {
  if (!engine_->up()) {
    return;
  }
  const Millis now = loop_.now_millis();
  if (!fifo_) {
    limiter_.SetTarget(batch_target_.UpdateTarget(queue_, now));
  }
  while (auto next = queue_.PopNext(now, limiter_.Limits())) {
    waiting_.erase(next->handle_);
    granted_[next->handle_] = *next;
    hooks_.granted_(next->handle_);
  }
}

void SimSidecar::Work(uint64_t handle,
                      emulator::EngineRequest request,
                      const std::vector<uint64_t>& prefixes) {
  const auto granted = granted_.find(handle);
  if (granted == granted_.end()) {
    hooks_.refused_(handle);
    return;
  }
  Running running;
  running.item_ = granted->second;
  running.digest_ = request.prompt_digest_;
  running.started_ = loop_.now_millis();
  running.between_tokens_target_ = BetweenTokensTarget(running.item_.class_);
  granted_.erase(granted);
  request.id_ = emulator::SequenceId(static_cast<int64_t>(handle));
  running_[handle] = running;
  RecordPrefixes(prefixes);
  engine_->Submit(request);
}

Millis SimSidecar::BetweenTokensTarget(const ClassId& class_id) const {
  for (const ClassWorkload& workload : scenario_.classes_) {
    if (workload.class_.name_ == class_id) {
      return workload.class_.between_tokens_;
    }
  }
  return Millis(0);
}

void SimSidecar::RecordPrefixes(const std::vector<uint64_t>& prefixes) {
  for (const uint64_t prefix : prefixes) {
    const auto existing = std::find(prefixes_.begin(), prefixes_.end(), prefix);
    if (existing != prefixes_.end()) {
      prefixes_.erase(existing);
    }
    prefixes_.push_back(prefix);
    if (prefixes_.size() > kMaxPrefixes) {
      prefixes_.pop_front();
    }
  }
}

void SimSidecar::Reset(uint64_t handle) {
  if (waiting_.erase(handle) > 0) {
    queue_.Withdraw(handle, loop_.now_millis());
  } else if (const auto granted = granted_.find(handle);
             granted != granted_.end()) {
    queue_.RevertStart(granted->second);
    granted_.erase(granted);
  } else if (const auto running = running_.find(handle);
             running != running_.end()) {
    engine_->Cancel(emulator::SequenceId(static_cast<int64_t>(handle)));
    queue_.RecordEnd(running->second.item_, Tokens(running->second.generated_));
    running_.erase(running);
  }
  GrantNext();
}

void SimSidecar::OnEvent(const emulator::EngineEvent& event) {
  const auto handle = static_cast<uint64_t>(event.id_.value());
  switch (event.type_) {
    case emulator::EngineEventType::kToken:
      if (event.index_ == 0) {
        hooks_.prefilled_(handle, event.cached_tokens_);
      }
      OnToken(handle, event.index_);
      break;
    case emulator::EngineEventType::kFinished:
      OnFinished(handle);
      break;
    case emulator::EngineEventType::kPreempted:
      hooks_.preempted_(handle);
      limiter_.ObserveRefusal(engine_->running());
      break;
    case emulator::EngineEventType::kCrashed:
      OnCrash();
      break;
  }
}

void SimSidecar::OnToken(uint64_t handle, int64_t index) {
  hooks_.token_(handle, index);
  const auto found = running_.find(handle);
  if (found == running_.end()) {
    return;
  }
  Running& running = found->second;
  const Millis now = loop_.now_millis();
  if (running.generated_ == 0) {
    running.first_token_ = now;
    queue_.OnFirstToken(running.item_, now - running.started_);
  } else {
    limiter_.ObserveChunk(now, Tokens(1), now - running.last_token_,
                          queue_.running());
  }
  const bool first = running.generated_ == 0;
  ++running.generated_;
  running.last_token_ = now;
  if (first) {
    GrantNext();
  }
}

void SimSidecar::OnFinished(uint64_t handle) {
  const auto found = running_.find(handle);
  if (found == running_.end()) {
    return;
  }
  const Running running = found->second;
  running_.erase(found);
  queue_.RecordEnd(running.item_, Tokens(running.generated_));
  if (running.generated_ > 1) {
    const Millis span = running.last_token_ - running.first_token_;
    limiter_.ObserveAnswer(static_cast<double>(span.count()) /
                               static_cast<double>(running.generated_ - 1),
                           running.between_tokens_target_);
  }
  const auto cleared = quarantine_.OnCompleted(
      {running.digest_, running.item_.suspect_}, loop_.now_millis());
  if (!cleared.empty()) {
    hooks_.crash_records_(cleared);
  }
  hooks_.finished_(handle);
  GrantNext();
}

void SimSidecar::OnCrash() {
  hooks_.crashed_();
  std::vector<policy::RunningAttempt> digests;
  std::vector<uint64_t> lost;
  for (const auto& [handle, running] : running_) {
    digests.push_back({running.digest_, running.item_.suspect_});
    queue_.RecordEnd(running.item_, Tokens(running.generated_));
    lost.push_back(handle);
  }
  std::vector<uint64_t> refused;
  for (const auto& [handle, item] : granted_) {
    queue_.RevertStart(item);
    refused.push_back(handle);
  }
  for (const auto& [handle, item] : waiting_) {
    queue_.Withdraw(handle, loop_.now_millis());
    refused.push_back(handle);
  }
  running_.clear();
  granted_.clear();
  waiting_.clear();
  prefixes_.clear();
  hooks_.crash_records_(
      quarantine_.OnCrash(digests, loop_.now_millis(), index_ + 1));
  std::sort(lost.begin(), lost.end());
  std::sort(refused.begin(), refused.end());
  std::for_each(lost.begin(), lost.end(), hooks_.lost_);
  std::for_each(refused.begin(), refused.end(), hooks_.refused_);
  loop_.ScheduleAfter(emulator::ToMicros(scenario_.faults_.restart_after_),
                      [this] {
                        engine_->Restart();
                        GrantNext();
                      });
}

policy::UpstreamView SimSidecar::Status() const {
  policy::UpstreamView view;
  const Millis now = loop_.now_millis();
  const policy::SlotLimits limits = limiter_.Limits();
  view.sidecar_ = InstanceId("sidecar" + std::to_string(index_));
  view.group_ = GroupId("engines");
  view.zone_ = ZoneId(std::to_string(index_ % scenario_.zones_));
  view.usable_ = engine_->up();
  view.running_ = queue_.running();
  view.slots_ = limits.limit_;
  view.waiting_ = static_cast<int>(queue_.size());
  view.between_tokens_ = limiter_.between_tokens();
  for (const ClassWorkload& workload : scenario_.classes_) {
    const ClassId& name = workload.class_.name_;
    const ClassId queued = fifo_ ? ClassId(kFifoClass) : name;
    view.class_waits_.push_back({name, queue_.ExpectedWait(queued, now, limits),
                                 queue_.RunningOf(queued)});
  }
  view.cached_prefixes_.assign(prefixes_.begin(), prefixes_.end());
  std::sort(view.cached_prefixes_.begin(), view.cached_prefixes_.end());
  return view;
}

}  // namespace bergamotscale::lab
