#include "src/lab/proxy_simulation.h"

#include <optional>
#include <utility>

namespace bergamotscale::lab {

namespace {

constexpr Micros kResendDelay = Micros(500'000);
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
    loop_.At(arrivals_[i].at_ + kCallerDelay, [this, i] { Arrive(i); });
  }
  ScheduleFaults(scenario_.faults_, loop_, engines_);
  ScheduleSamples(loop_, engines_, recorder_);
  loop_.RunUntil(emulator::ToMicros(scenario_.duration_));
}

void ProxySimulation::Arrive(int request) {
  const Arrival& arrival = arrivals_[request];
  const ServiceClass& service_class = scenario_.classes_[arrival.class_].class_;
  loop_.After(emulator::ToMicros(service_class.deadline_),
              [this, request] { GiveUp(request); });
  if (arrival.leaves_at_) {
    loop_.At(*arrival.leaves_at_ + kCallerDelay,
             [this, request] { Leave(request); });
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
    loop_.After(kNoEngineDelay, [this, request] { Send(request); });
    return;
  }
  ++entry.own_running_[*engine];
  requests_[request].engine_ = *engine;
  const Micros delay = DelayBetween(EntryOf(request) % scenario_.zones_,
                                    *engine % scenario_.zones_);
  loop_.After(delay,
              [this, request, engine = *engine] { Submit(request, engine); });
}

void ProxySimulation::Submit(int request, int engine) {
  Request& state = requests_[request];
  // Given up, or lost with its engine, on the way.
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
    LeaveEngine(request);
    Send(request);
  }
}

void ProxySimulation::LeaveEngine(int request) {
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
    recorder_.Written(event.at_);
  }
  const auto found = request_of_.find(event.id_.value());
  if (found == request_of_.end()) {
    return;
  }
  const int request = found->second;
  if (event.type_ == emulator::EngineEventType::kToken && event.index_ == 0) {
    recorder_.Prefilled(request, event.cached_tokens_, event.at_);
  }
  if (event.type_ == emulator::EngineEventType::kPreempted) {
    recorder_.Preempted(request);
  } else if (event.type_ == emulator::EngineEventType::kToken) {
    OnToken(request, event);
  } else {
    const Micros received = event.at_ + kCallerDelay;
    if (!requests_[request].left_) {
      recorder_.Completed(request, received);
    }
    requests_[request].ended_ = true;
    LeaveEngine(request);
  }
}

void ProxySimulation::OnToken(int request, const emulator::EngineEvent& event) {
  Request& state = requests_[request];
  if (!state.left_) {
    const Micros delay = DelayBetween(EntryOf(request) % scenario_.zones_,
                                      state.engine_ % scenario_.zones_);
    recorder_.Delivered(request, event.index_,
                        event.at_ + delay + kCallerDelay);
    return;
  }
  // The write fails, and only now does the proxy know.
  engines_[state.engine_]->Cancel(emulator::SequenceId(state.sequence_));
  state.ended_ = true;
  LeaveEngine(request);
}

void ProxySimulation::OnCrash(int engine) {
  recorder_.Crashed();
  loop_.After(emulator::ToMicros(scenario_.faults_.restart_after_),
              [this, engine] { engines_[engine]->Restart(); });
  for (int i = 0; i < static_cast<int>(requests_.size()); ++i) {
    Request& state = requests_[i];
    if (state.ended_ || state.engine_ != engine) {
      continue;
    }
    LeaveEngine(i);
    recorder_.Retried();
    const bool again =
        state.resends_++ < scenario_.faults_.crasher_resends_ && !state.left_;
    if (again) {
      loop_.After(kResendDelay, [this, i] { Send(i); });
    } else {
      state.ended_ = true;
      recorder_.Failed(i);
    }
  }
}

void ProxySimulation::GiveUp(int request) {
  Request& state = requests_[request];
  if (state.ended_ || state.left_) {
    return;
  }
  state.ended_ = true;
  recorder_.Failed(request);
  if (state.sequence_ >= 0) {
    engines_[state.engine_]->Cancel(emulator::SequenceId(state.sequence_));
  }
  LeaveEngine(request);
}

void ProxySimulation::Leave(int request) {
  Request& state = requests_[request];
  if (!state.ended_) {
    state.left_ = true;
    recorder_.Left(request, loop_.now());
  }
}

}  // namespace bergamotscale::lab
