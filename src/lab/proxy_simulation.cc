#include "src/lab/proxy_simulation.h"

#include <optional>
#include <utility>

namespace bergamotscale::lab {

namespace {

constexpr Micros kRetryDelay = Micros(500'000);
constexpr Micros kNoEngineDelay = Micros(100'000);

}  // namespace

ProxySimulation::ProxySimulation(const Scenario& scenario,
                                 const std::vector<Arrival>& arrivals,
                                 Recorder& recorder,
                                 uint64_t seed,
                                 policy::Baseline baseline)
    : scenario_(scenario),
      arrivals_(arrivals),
      recorder_(recorder),
      requests_(arrivals.size()) {
  for (int i = 0; i < scenario.engines_; ++i) {
    emulator::EngineParameters parameters = scenario.engine_;
    parameters.seed_ = seed + i;
    owned_engines_.push_back(std::make_unique<SimEngine>(
        loop_, parameters,
        [this, i](const emulator::EngineEvent& event) { OnEvent(i, event); }));
    engines_.push_back(owned_engines_.back().get());
  }
  for (int i = 0; i < scenario.entries_; ++i) {
    entries_.push_back(
        Entry{policy::BaselineDispatcher(baseline, seed * 100 + i),
              std::vector<int>(scenario.engines_)});
  }
}

void ProxySimulation::Run() {
  for (int i = 0; i < static_cast<int>(arrivals_.size()); ++i) {
    loop_.ScheduleAt(arrivals_[i].at_ + kCallerDelay,
                     [this, i] { OnArrival(i); });
  }
  ScheduleFaults(scenario_.faults_, loop_, engines_);
  ScheduleSamples(loop_, engines_, recorder_);
  loop_.RunUntil(emulator::ToMicros(scenario_.duration_));
}

void ProxySimulation::OnArrival(int request) {
  const Arrival& arrival = arrivals_[request];
  const ServiceClass& service_class = scenario_.classes_[arrival.class_].class_;
  loop_.ScheduleAfter(emulator::ToMicros(service_class.deadline_),
                      [this, request] { OnTimeout(request); });
  if (arrival.leaves_at_) {
    loop_.ScheduleAt(*arrival.leaves_at_ + kCallerDelay,
                     [this, request] { OnCallerLeft(request); });
  }
  Send(request);
}

std::vector<policy::UpstreamView> ProxySimulation::Views() const {
  std::vector<policy::UpstreamView> views(engines_.size());
  for (size_t i = 0; i < engines_.size(); ++i) {
    const emulator::LoadReport report = engines_[i]->report();
    views[i].usable_ = engines_[i]->up();
    views[i].running_ = report.running_;
    views[i].waiting_ = report.waiting_;
  }
  return views;
}

void ProxySimulation::Send(int request) {
  if (requests_[request].ended_) {
    return;
  }
  Entry& entry = entries_[EntryOf(request)];
  const std::optional<int> engine =
      entry.dispatcher_.Choose(Views(), entry.own_running_);
  if (!engine) {
    loop_.ScheduleAfter(kNoEngineDelay, [this, request] { Send(request); });
    return;
  }
  ++entry.own_running_[*engine];
  requests_[request].engine_ = *engine;
  const Micros delay = DelayBetween(EntryOf(request) % scenario_.zones_,
                                    *engine % scenario_.zones_);
  loop_.ScheduleAfter(
      delay, [this, request, engine = *engine] { Submit(request, engine); });
}

void ProxySimulation::Submit(int request, int engine) {
  Request& state = requests_[request];
  // The request timed out, or its engine crashed, while it was being sent.
  if (state.ended_ || state.engine_ != engine || state.sequence_ >= 0) {
    return;
  }
  const Arrival& arrival = arrivals_[request];
  emulator::EngineRequest work;
  work.id_ = emulator::SequenceId(next_sequence_++);
  work.prompt_tokens_ = arrival.prompt_tokens_;
  work.prefix_hashes_ = arrival.block_hashes_;
  work.prompt_digest_ = arrival.digest_;
  work.output_tokens_ = arrival.output_tokens_;
  work.crashes_engine_ = arrival.crashes_engine_;
  state.sequence_ = work.id_.value();
  request_of_[state.sequence_] = request;
  if (!engines_[engine]->Submit(work)) {
    RemoveFromEngine(request);
    Send(request);
  }
}

void ProxySimulation::RemoveFromEngine(int request) {
  Request& state = requests_[request];
  if (state.engine_ >= 0) {
    --entries_[EntryOf(request)].own_running_[state.engine_];
  }
  request_of_.erase(state.sequence_);
  state.engine_ = -1;
  state.sequence_ = -1;
}

void ProxySimulation::OnEvent(int engine, const emulator::EngineEvent& event) {
  if (event.type_ == emulator::EngineEventType::kCrashed) {
    OnCrash(engine);
    return;
  }
  if (event.type_ == emulator::EngineEventType::kToken) {
    recorder_.RecordGenerated(event.at_);
  }
  const auto found = request_of_.find(event.id_.value());
  if (found == request_of_.end()) {
    return;
  }
  const int request = found->second;
  if (event.type_ == emulator::EngineEventType::kToken && event.index_ == 0) {
    recorder_.RecordPrefilled(request, event.cached_tokens_, event.at_);
  }
  if (event.type_ == emulator::EngineEventType::kPreempted) {
    recorder_.RecordPreempted(request);
  } else if (event.type_ == emulator::EngineEventType::kToken) {
    OnToken(request, event);
  } else {
    const Micros received = event.at_ + kCallerDelay;
    if (!requests_[request].caller_left_) {
      recorder_.RecordCompleted(request, received);
    }
    requests_[request].ended_ = true;
    RemoveFromEngine(request);
  }
}

void ProxySimulation::OnToken(int request, const emulator::EngineEvent& event) {
  Request& state = requests_[request];
  if (!state.caller_left_) {
    const Micros delay = DelayBetween(EntryOf(request) % scenario_.zones_,
                                      state.engine_ % scenario_.zones_);
    recorder_.RecordDelivered(request, event.index_,
                              event.at_ + delay + kCallerDelay);
    return;
  }
  // The proxy detects that its caller left only when a write fails.
  engines_[state.engine_]->Cancel(emulator::SequenceId(state.sequence_));
  state.ended_ = true;
  RemoveFromEngine(request);
}

void ProxySimulation::OnCrash(int engine) {
  recorder_.RecordCrash();
  loop_.ScheduleAfter(emulator::ToMicros(scenario_.faults_.restart_after_),
                      [this, engine] { engines_[engine]->Restart(); });
  for (int i = 0; i < static_cast<int>(requests_.size()); ++i) {
    Request& state = requests_[i];
    if (state.ended_ || state.engine_ != engine) {
      continue;
    }
    RemoveFromEngine(i);
    recorder_.RecordRetry();
    const bool should_retry =
        state.retries_++ < scenario_.faults_.crasher_retries_ &&
        !state.caller_left_;
    if (should_retry) {
      loop_.ScheduleAfter(kRetryDelay, [this, i] { Send(i); });
    } else {
      state.ended_ = true;
      recorder_.RecordFailed(i);
    }
  }
}

void ProxySimulation::OnTimeout(int request) {
  Request& state = requests_[request];
  if (state.ended_ || state.caller_left_) {
    return;
  }
  state.ended_ = true;
  recorder_.RecordFailed(request);
  if (state.sequence_ >= 0) {
    engines_[state.engine_]->Cancel(emulator::SequenceId(state.sequence_));
  }
  RemoveFromEngine(request);
}

void ProxySimulation::OnCallerLeft(int request) {
  Request& state = requests_[request];
  if (!state.ended_) {
    state.caller_left_ = true;
    recorder_.RecordLeft(request, loop_.now());
  }
}

}  // namespace bergamotscale::lab
