#include "src/lab/router_simulation.h"

#include <utility>

#include "src/lab/fault_schedule.h"

namespace bergamotscale::lab {

namespace {

constexpr Micros kStatusInterval = Micros(100'000);
constexpr Micros kRetryDelay = Micros(1'000'000);

}  // namespace

RouterSimulation::RouterSimulation(const Scenario& scenario,
                                   const std::vector<Arrival>& arrivals,
                                   Recorder& recorder,
                                   uint64_t seed,
                                   bool fifo)
    : scenario_(scenario), arrivals_(arrivals), recorder_(recorder) {
  for (int i = 0; i < scenario.engines_; ++i) {
    sidecars_.push_back(std::make_unique<SimSidecar>(loop_, scenario, i, seed,
                                                     fifo, HooksOfSidecar(i)));
    engines_.push_back(&sidecars_.back()->engine());
  }
  for (int i = 0; i < scenario.entries_; ++i) {
    entries_.push_back(std::make_unique<SimEntry>(
        loop_, scenario, arrivals, recorder, i, seed, fifo, HooksOfEntry(i)));
  }
}

Micros RouterSimulation::Delay(int entry, int sidecar) const {
  return DelayBetween(entry % scenario_.zones_, sidecar % scenario_.zones_);
}

SimEntry& RouterSimulation::EntryOf(int request) {
  const auto retries = retries_.find(request);
  const int entry_offset = retries == retries_.end() ? 0 : retries->second;
  return *entries_[(arrivals_[request].entry_ + entry_offset) %
                   scenario_.entries_];
}

EntryHooks RouterSimulation::HooksOfEntry(int entry) {
  EntryHooks hooks;
  hooks.send_ = [this, entry](int sidecar,
                              std::function<void(SimSidecar&)> message) {
    loop_.ScheduleAfter(Delay(entry, sidecar),
                        [this, sidecar, message = std::move(message)] {
                          message(*sidecars_[sidecar]);
                        });
  };
  hooks.unanswered_ = [this](int request) { Retry(request); };
  return hooks;
}

void RouterSimulation::SendToEntry(int sidecar,
                                   uint64_t handle,
                                   std::function<void(SimEntry&)> message) {
  SimEntry& entry = EntryOf(RequestOf(handle));
  const int entry_index = arrivals_[RequestOf(handle)].entry_;
  loop_.ScheduleAfter(
      Delay(entry_index, sidecar),
      [&entry, message = std::move(message)] { message(entry); });
}

SidecarHooks RouterSimulation::HooksOfSidecar(int sidecar) {
  SidecarHooks hooks;
  hooks.granted_ = [this, sidecar](uint64_t handle) {
    SendToEntry(sidecar, handle, [sidecar, handle](SimEntry& entry) {
      entry.OnGranted(sidecar, handle);
    });
  };
  hooks.token_ = [this, sidecar](uint64_t handle, int64_t index) {
    recorder_.RecordGenerated(loop_.now());
    const Micros at =
        loop_.now() + Delay(arrivals_[RequestOf(handle)].entry_, sidecar);
    EntryOf(RequestOf(handle)).OnToken(handle, index, at);
  };
  hooks.prefilled_ = [this](uint64_t handle, Tokens cached) {
    recorder_.RecordPrefilled(RequestOf(handle), cached, loop_.now());
  };
  hooks.finished_ = [this, sidecar](uint64_t handle) {
    const Micros at =
        loop_.now() + Delay(arrivals_[RequestOf(handle)].entry_, sidecar);
    EntryOf(RequestOf(handle)).OnFinished(handle, at);
  };
  hooks.lost_ = [this, sidecar](uint64_t handle) {
    SendToEntry(sidecar, handle, [sidecar, handle](SimEntry& entry) {
      entry.OnLost(sidecar, handle);
    });
  };
  hooks.refused_ = [this, sidecar](uint64_t handle) {
    SendToEntry(sidecar, handle, [sidecar, handle](SimEntry& entry) {
      entry.OnRefused(sidecar, handle);
    });
  };
  hooks.crashed_ = [this] { recorder_.RecordCrash(); };
  hooks.preempted_ = [this](uint64_t handle) {
    recorder_.RecordPreempted(RequestOf(handle));
  };
  hooks.crash_records_ =
      [this, sidecar](const std::vector<policy::CrashRecord>& records) {
        for (int i = 0; i < scenario_.entries_; ++i) {
          loop_.ScheduleAfter(Delay(i, sidecar), [this, i, records] {
            entries_[i]->OnCrashRecords(records);
          });
        }
      };
  return hooks;
}

void RouterSimulation::SendStatus() {
  for (int sidecar = 0; sidecar < scenario_.engines_; ++sidecar) {
    const policy::UpstreamView view = sidecars_[sidecar]->Status();
    for (int entry = 0; entry < scenario_.entries_; ++entry) {
      loop_.ScheduleAfter(Delay(entry, sidecar),
                          [this, entry, sidecar, view, sent = loop_.now()] {
                            entries_[entry]->OnStatus(sidecar, view, sent);
                          });
    }
  }
  loop_.ScheduleAfter(kStatusInterval, [this] { SendStatus(); });
}

// Only the caller of the crashing request retries.
void RouterSimulation::Retry(int request) {
  if (!arrivals_[request].crashes_engine_ ||
      retries_[request] >= scenario_.faults_.crasher_retries_) {
    return;
  }
  loop_.ScheduleAfter(kRetryDelay, [this, request] {
    ++retries_[request];
    EntryOf(request).OnArrival(request);
  });
}

void RouterSimulation::Run() {
  SendStatus();
  for (int i = 0; i < static_cast<int>(arrivals_.size()); ++i) {
    const Arrival& arrival = arrivals_[i];
    loop_.ScheduleAt(arrival.at_ + kCallerDelay,
                     [this, i] { EntryOf(i).OnArrival(i); });
    if (arrival.leaves_at_) {
      loop_.ScheduleAt(*arrival.leaves_at_ + kCallerDelay,
                       [this, i] { EntryOf(i).OnCallerLeft(i); });
    }
  }
  ScheduleFaults(scenario_.faults_, loop_, engines_);
  ScheduleSamples(loop_, engines_, recorder_);
  loop_.RunUntil(emulator::ToMicros(scenario_.duration_));
}

}  // namespace bergamotscale::lab
